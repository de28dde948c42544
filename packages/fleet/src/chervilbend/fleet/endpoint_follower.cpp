#include <chervilbend/fleet/endpoint_follower.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/fleet/fleet_store.hpp>
#include <chervilbend/fleet/retry_pause.hpp>
#include <chervilbend/net/sleep.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

/// The store answers within some ms.
constexpr base::milliseconds slowAnswer{150};

const log4cxx::LoggerPtr &endpointLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("endpoints");
    return logger;
}

} // namespace

endpoint_follower::endpoint_follower(fleet_store &store, endpoint_registry &registry, base::milliseconds interval, std::uint64_t seed)
    : m_store(store)
    , m_seed(seed)
    , m_registry(registry)
    , m_interval(interval)
{
}

void endpoint_follower::onDoubt(std::function<void()> listener)
{
    m_onDoubt = std::move(listener);
}

void endpoint_follower::onChange(std::function<void(const std::set<base::endpoint_id> &)> listener)
{
    m_listener = std::move(listener);
}

asio::awaitable<void> endpoint_follower::run()
{
    retry_pause pause(m_seed);
    while (true) {
        const base::time_point asked = base::clock::now();
        const bool whole = !m_position;
        std::optional<endpoint_page> page;
        if (whole) {
            page = co_await m_store.allEndpoints();
        } else {
            page = co_await m_store.endpointsFrom(*m_position);
        }
        const base::time_point now = base::clock::now();
        if (m_onDoubt && (!page || now - asked > slowAnswer)) {
            m_onDoubt();
        }
        if (page) {
            if (pause.failures() > 0) {
                LOG4CXX_INFO(endpointLog(), "The endpoints' registrations can be read again after " << pause.failures() << " failures.");
            }
            pause.reset();
            m_position = page->next;
            m_readAt = now;
            m_known = true;
            notify(whole ? m_registry.replace(page->changes, now) : m_registry.apply(page->changes, now));
            co_await net::sleepFor(m_interval);
            continue;
        }
        if (m_store.lastReason().kind == base::error_kind::recordInvalid) {
            m_position.reset();
        } else {
            m_registry.noteAway(now);
        }
        if (pause.failures() == 0) {
            LOG4CXX_WARN(endpointLog(), "The endpoints' registrations cannot be read, those known stay: " << m_store.lastReason().text);
        }
        notify(m_registry.expire(now));
        co_await net::sleepFor(pause.next());
    }
}

void endpoint_follower::notify(const std::set<base::endpoint_id> &changed) const
{
    if (m_listener && !changed.empty()) {
        m_listener(changed);
    }
}

} // namespace chervilbend::fleet
