#include <chervilbend/control/report_poller.hpp>

#include <chervilbend/control/report_listener.hpp>
#include <chervilbend/external/engine_control.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::control
{

report_poller::report_poller(const asio::any_io_executor &executor, external::engine_control &engines, base::milliseconds interval)
    : m_executor(executor)
    , m_engines(engines)
    , m_interval(interval)
{
}

report_poller::~report_poller()
{
    for (const auto &[endpoint, engine] : m_targets) {
        engine->active = false;
    }
}

void report_poller::addListener(report_listener &listener)
{
    m_listeners.push_back(&listener);
}

void report_poller::setFilter(filter accepts)
{
    m_filter = std::move(accepts);
}

void report_poller::hostsChanged(const std::vector<external::host_entry> &hosts)
{
    std::map<base::endpoint_id, std::shared_ptr<target>> kept;
    for (const external::host_entry &host : hosts) {
        if (host.kind != external::host_kind::modelEngine || (m_filter && !m_filter(host))) {
            continue;
        }
        const base::endpoint_id endpoint(host.id);
        const auto known = m_targets.find(endpoint);
        if (known != m_targets.end() && known->second->where == host.address) {
            kept.insert(m_targets.extract(known));
            continue;
        }
        const auto engine = std::make_shared<target>(target{host.address});
        kept[endpoint] = engine;
        asio::co_spawn(m_executor, poll(endpoint, engine), asio::detached);
    }
    for (const auto &[endpoint, engine] : m_targets) {
        engine->active = false;
    }
    m_targets = std::move(kept);
}

asio::awaitable<void> report_poller::poll(base::endpoint_id endpoint, std::shared_ptr<target> engine)
{
    int missedPolls = 0;
    while (engine->active) {
        const std::optional<external::engine_report> report = co_await m_engines.report(engine->where);
        if (!engine->active) {
            break;
        }
        if (report) {
            missedPolls = 0;
        } else {
            ++missedPolls;
        }
        for (report_listener *listener : m_listeners) {
            if (report) {
                listener->reportArrived(endpoint, *report);
            } else {
                listener->reportMissed(endpoint, missedPolls);
            }
        }
        co_await net::sleepFor(m_interval);
    }
}

} // namespace chervilbend::control
