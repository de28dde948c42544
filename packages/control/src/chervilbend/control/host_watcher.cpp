#include <chervilbend/control/host_watcher.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/control/host_listener.hpp>
#include <chervilbend/external/host_list.hpp>
#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::control
{

namespace
{

/// Number of consecutive identical reads after which an implausibly short list is accepted.
constexpr int readsUntilAccepted = 3;

const log4cxx::LoggerPtr logger = base::partLogger("node");

} // namespace

host_watcher::host_watcher(external::host_list &source, base::milliseconds interval)
    : m_source(source)
    , m_interval(interval)
{
}

void host_watcher::addListener(host_listener &listener)
{
    m_listeners.push_back(&listener);
    if (m_known) {
        listener.hostsChanged(m_hosts);
    }
}

asio::awaitable<void> host_watcher::run()
{
    bool reachable = true;
    while (true) {
        std::optional<std::vector<external::host_entry>> hosts = co_await m_source.fetch();
        if (hosts) {
            accept(std::move(*hosts));
        } else if (reachable) {
            LOG4CXX_WARN(logger, "Host list is unavailable; continuing with the last known list: " << m_source.lastReason().text);
        }
        reachable = hosts.has_value();
        co_await net::sleepFor(m_interval);
    }
}

void host_watcher::accept(std::vector<external::host_entry> hosts)
{
    std::sort(hosts.begin(), hosts.end(), [](const auto &left, const auto &right) { return left.id < right.id; });
    if (!isPlausible(hosts)) {
        return;
    }
    if (m_known && hosts == m_hosts) {
        return;
    }
    m_hosts = std::move(hosts);
    m_known = true;
    LOG4CXX_INFO(logger, "Host list changed: " << m_hosts.size() << " hosts.");
    for (host_listener *listener : m_listeners) {
        listener->hostsChanged(m_hosts);
    }
}

bool host_watcher::isPlausible(const std::vector<external::host_entry> &hosts)
{
    const auto isKept = [&hosts](const external::host_entry &host) {
        return std::any_of(hosts.begin(), hosts.end(), [&host](const external::host_entry &other) { return other.id == host.id; });
    };
    const auto kept = std::count_if(m_hosts.begin(), m_hosts.end(), isKept);
    if (static_cast<std::size_t>(kept) * 2 >= m_hosts.size()) {
        m_implausibleReads = 0;
        return true;
    }
    m_implausibleReads = hosts == m_implausibleHosts ? m_implausibleReads + 1 : 1;
    m_implausibleHosts = hosts;
    if (m_implausibleReads < readsUntilAccepted) {
        LOG4CXX_WARN(logger,
                     "Host list is missing " << m_hosts.size() - static_cast<std::size_t>(kept) << " of " << m_hosts.size()
                                             << " known hosts; reading it again before use.");
        return false;
    }
    m_implausibleReads = 0;
    return true;
}

} // namespace chervilbend::control
