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

/// The store normally answers within a few ms.
constexpr base::milliseconds slowReadThreshold{150};
/// The holder reads this many times as often as a node that follows the store by itself, because relaying adds the delay of one exchange.
constexpr int holderReadFactor = 2;

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
    m_problemListener = std::move(listener);
}

void endpoint_follower::onFirstRead(std::function<void()> listener)
{
    m_firstReadListener = std::move(listener);
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

bool endpoint_follower::applyRelayed(const store_update &update, const read_time &readAt)
{
    if (m_isHolder || (m_position && update.registrationsPosition < *m_position)) {
        return false;
    }
    m_position = update.registrationsPosition;
    noteRead(readAt);
    m_relayedAt = readAt.steady;
    notify(m_registry.applyRelayed(update.registrations, update.isSnapshot, base::clock::now()));
    return true;
}

void endpoint_follower::noteRead(const read_time &readAt)
{
    m_readAt = {std::max(m_readAt.steady, readAt.steady), std::max(m_readAt.boot, readAt.boot)};
    if (const std::function<void()> listener = std::exchange(m_firstReadListener, nullptr)) {
        listener();
    }
}

void endpoint_follower::applyRead(const endpoint_page &page, bool isSnapshot, const read_time &requestedAt)
{
    // An update of the holder may have arrived in the meantime and may be newer.
    if (m_position && page.next < *m_position) {
        return;
    }
    m_position = page.next;
    if (page.isComplete) {
        noteRead(requestedAt);
    }
    const base::time_point now = base::clock::now();
    notify(isSnapshot && page.isComplete ? m_registry.replace(page.changes, now, requestedAt.steady) : m_registry.apply(page.changes, now, requestedAt.steady));
}

void endpoint_follower::noteRestorations(base::time_point now)
{
    const std::int64_t restorations = m_store.restorations();
    if (m_restorations && *m_restorations != restorations) {
        // A registration that is missing in the older copy is written again by an endpoint that lives, as after an outage.
        m_registry.noteStoreUnavailable(now);
    }
    m_restorations = restorations;
}

asio::awaitable<void> endpoint_follower::run()
{
    retry_backoff backoff(m_seed);
    while (true) {
        const read_time requestedAt = read_time::now();
        if (const std::optional<base::time_point> until = relayedUntil(); until && requestedAt.steady < *until) {
            co_await m_wake.wait(*until);
            continue;
        }
        // After a failed read the newest entries are read: their size is bounded, while that of the missed changes grows until the answer takes longer
        // than a read may last.
        const bool isSnapshot = !m_position || m_registry.isRelayed() || backoff.failures() > 0;
        std::optional<endpoint_page> page;
        if (isSnapshot) {
            page = co_await m_store.allEndpoints();
        } else {
            page = co_await m_store.endpointsFrom(*m_position);
        }
        const base::time_point now = base::clock::now();
        if (m_problemListener && (!page || now - requestedAt.steady > slowReadThreshold)) {
            m_problemListener();
        }
        if (page) {
            if (backoff.failures() > 0) {
                LOG4CXX_INFO(endpointLog(), "Endpoint registrations are readable again after " << backoff.failures() << " failed reads.");
            }
            backoff.reset();
            m_store.recovery().noteSuccess();
            noteRestorations(now);
            applyRead(*page, isSnapshot, requestedAt);
            if (!isSnapshot && !page->isComplete) {
                // The rest of the changes is there already.
                continue;
            }
            co_await m_wake.wait(base::clock::now() + (m_isHolder ? m_interval / holderReadFactor : m_interval));
            continue;
        }
        if (m_store.lastReason().kind == base::error_kind::recordInvalid && m_position) {
            LOG4CXX_INFO(endpointLog(), "Reading all registrations, because " << m_store.lastReason().text << '.');
            m_position.reset();
            continue;
        }
        if (m_store.lastReason().kind != base::error_kind::recordInvalid) {
            m_registry.noteStoreUnavailable(now);
        }
        if (backoff.failures() == 0) {
            LOG4CXX_WARN(endpointLog(), "Cannot read endpoint registrations, keeping the known ones: " << m_store.lastReason().text);
        }
        notify(m_registry.expire(now));
        co_await m_store.recovery().waitForRetry(store_task::endpoints, backoff.next());
    }
}

void endpoint_follower::notify(const std::set<base::endpoint_id> &changed) const
{
    if (m_listener && !changed.empty()) {
        m_listener(changed);
    }
}

} // namespace chervilbend::fleet
