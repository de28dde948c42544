#include <chervilbend/fleet/endpoint_follower.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/fleet/fleet_store.hpp>
#include <chervilbend/fleet/retry_backoff.hpp>
#include <chervilbend/fleet/store_update.hpp>
#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

/// The store answers within some ms.
constexpr base::milliseconds slowAnswer{150};
/// The holder reads so many times as often as a node that follows the store by itself, since its word takes one exchange more.
constexpr int holderReads = 2;

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

void endpoint_follower::onStoreProblem(std::function<void()> listener)
{
    m_onDoubt = std::move(listener);
}

void endpoint_follower::onChange(std::function<void(const std::set<base::endpoint_id> &)> listener)
{
    m_listener = std::move(listener);
}

void endpoint_follower::setHolder(bool isHolder)
{
    m_isHolder = isHolder;
    m_relayedAt.reset();
    m_wake.notify();
}

std::optional<base::time_point> endpoint_follower::relayedUntil() const
{
    return m_relayedAt ? std::optional(*m_relayedAt + m_interval) : std::nullopt;
}

bool endpoint_follower::takeRelayed(const store_update &news, base::time_point readAt)
{
    if (m_isHolder || (m_position && news.registrationsPosition < *m_position)) {
        return false;
    }
    m_position = news.registrationsPosition;
    m_readAt = std::max(m_readAt, readAt);
    m_relayedAt = readAt;
    notify(m_registry.applyRelayed(news.registrations, news.isWhole, base::clock::now()));
    return true;
}

void endpoint_follower::takeRead(const endpoint_page &page, bool isWhole, base::time_point asked)
{
    // The holder's word may have come in the meantime, and may be newer.
    if (m_position && page.next < *m_position) {
        return;
    }
    m_position = page.next;
    m_readAt = std::max(m_readAt, asked);
    const base::time_point now = base::clock::now();
    notify(isWhole ? m_registry.replace(page.changes, now) : m_registry.apply(page.changes, now));
}

asio::awaitable<void> endpoint_follower::run()
{
    retry_backoff pause(m_seed);
    while (true) {
        const base::time_point asked = base::clock::now();
        if (const std::optional<base::time_point> until = relayedUntil(); until && asked < *until) {
            co_await m_wake.wait(*until);
            continue;
        }
        const bool whole = !m_position || m_registry.isRelayed();
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
            takeRead(*page, whole, asked);
            co_await m_wake.wait(base::clock::now() + (m_isHolder ? m_interval / holderReads : m_interval));
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
