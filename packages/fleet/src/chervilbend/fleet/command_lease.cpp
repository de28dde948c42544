#include <chervilbend/fleet/command_lease.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

/// No command is sent when less than this is left of the term, which covers the transmission to the engine.
constexpr base::milliseconds commandSafetyMargin{150};
/// How much longer than the term other nodes wait, because clocks run at different rates.
constexpr base::milliseconds clockSkewMargin{100};
/// Interval of checks of a lease that another node holds.
constexpr base::milliseconds watchInterval{200};
/// Upper bound of the random delay before a node tries to acquire a free lease, so that not all nodes try at the same time.
constexpr int maxAcquireDelayMs = 150;
/// Share of a processor core that the holder of a large cluster needs besides serving its callers.
constexpr double holderProcessorShare = 0.25;
/// How much longer hosts below that share wait: one watch interval, the random delay of the other hosts, and the write.
constexpr base::milliseconds smallHostDelay{500};
constexpr int maxReleaseAttempts = 3;

std::uint64_t seedOf(const command_lease_options &options)
{
    return base::hash64(options.node.value(), static_cast<std::uint64_t>(options.incarnation));
}

const log4cxx::LoggerPtr &leaseLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("lease");
    return logger;
}

} // namespace

command_lease::command_lease(fleet_store &store, command_lease_options options)
    : m_store(store)
    , m_options(std::move(options))
    , m_backoff(seedOf(m_options))
    , m_random(static_cast<std::minstd_rand::result_type>(seedOf(m_options)))
{
}

void command_lease::onChange(std::function<void(bool)> listener)
{
    m_listener = std::move(listener);
}

void command_lease::onNodes(std::function<void(int)> listener)
{
    m_nodesListener = std::move(listener);
}

bool command_lease::mayCommand() const
{
    const base::time_point now = base::clock::bootNow();
    return m_held && !m_stopping && now >= m_held->commandsFrom && now + commandSafetyMargin < m_held->validUntil;
}

std::optional<lease_record> command_lease::holder() const
{
    const bool isCurrent = m_latest && !m_latest->released && age() <= m_options.term + clockSkewMargin;
    return isCurrent ? m_latest : std::nullopt;
}

asio::awaitable<void> command_lease::run()
{
    while (!m_stopping) {
        if (m_held) {
            co_await renew();
        } else {
            co_await watch();
        }
    }
}

lease_record command_lease::ownRecord() const
{
    lease_record record;
    record.holder = m_options.node;
    record.incarnation = m_options.incarnation;
    record.peerAddress = m_options.peerAddress;
    record.nodes = m_nodes;
    if (m_held) {
        record.token = m_held->token;
        record.renewal = m_held->renewal + 1;
    }
    return record;
}

asio::awaitable<void> command_lease::renew()
{
    if (base::clock::bootNow() >= m_held->validUntil) {
        lose("the term ended before a renewal succeeded");
        co_return;
    }
    const base::time_point sentAt = base::clock::bootNow();
    const lease_record record = ownRecord();
    const lease_write written = co_await m_store.writeLease(record, m_latestOffset + 1);
    if (!m_held || m_stopping) {
        co_return;
    }
    if (written.status == lease_write_status::written) {
        m_held->renewal = record.renewal;
        m_held->validUntil = sentAt + m_options.term;
        m_latest = record;
        m_latestOffset = written.offset;
        m_latestAt = sentAt;
        m_backoff.reset();
        m_store.recovery().noteSuccess();
        co_await net::sleepFor(m_options.renewalInterval);
        co_return;
    }
    LOG4CXX_WARN(leaseLog(), base::log_event("renewalFailed").with("token", m_held->token).with("why", m_store.lastReason().text).text());
    // Read the record back to find out whether it was written.
    const std::optional<lease_page> page = co_await m_store.lease();
    if (!m_held || m_stopping) {
        co_return;
    }
    if (!page) {
        co_await net::sleepFor(m_backoff.next());
        co_return;
    }
    noteRestorations();
    if (isSuperseded(*page)) {
        observe(*page);
        lose("another node has acquired the lease");
        co_return;
    }
    const bool isOwn = page->record && page->record->token == m_held->token;
    if (isOwn && page->record->renewal == record.renewal) {
        m_held->renewal = record.renewal;
        m_held->validUntil = sentAt + m_options.term;
        m_latestAt = sentAt;
    }
    // In an older copy the record is an earlier one. The next renewal is written after it.
    m_latest = isOwn ? *page->record : record;
    m_latestOffset = page->end - 1;
    co_await net::sleepFor(retry_backoff::minimum());
}

bool command_lease::isSuperseded(const lease_page &page) const
{
    if (!page.record) {
        return false;
    }
    const bool isOwnProcess = page.record->holder == m_options.node && page.record->incarnation == m_options.incarnation;
    return !isOwnProcess && page.record->token > m_held->token;
}

void command_lease::noteRestorations()
{
    const std::int64_t restorations = m_store.restorations();
    if (m_restorations && restorations > *m_restorations) {
        const bool wasOwn = m_latest && m_latest->holder == m_options.node && m_latest->incarnation == m_options.incarnation;
        m_restoredAt = wasOwn ? std::nullopt : std::optional(base::clock::bootNow());
        LOG4CXX_INFO(leaseLog(), base::log_event("storeRestored").with("restorations", restorations).with("held", m_held.has_value()).text());
    }
    m_restorations = restorations;
}

std::optional<base::time_point> command_lease::unseenTermEnd() const
{
    return m_restoredAt ? std::optional(*m_restoredAt + m_options.term + clockSkewMargin) : std::nullopt;
}

asio::awaitable<void> command_lease::watch()
{
    const bool isOtherHolder = m_latest && (m_latest->holder != m_options.node || m_latest->incarnation != m_options.incarnation);
    if (isOtherHolder && holder()) {
        co_await net::sleepFor(watchInterval);
        co_return;
    }
    const std::optional<lease_page> page = co_await m_store.lease();
    if (m_stopping) {
        co_return;
    }
    if (!page) {
        co_await m_store.recovery().waitForRetry(store_task::lease, m_backoff.next());
        co_return;
    }
    m_backoff.reset();
    m_store.recovery().noteSuccess();
    noteRestorations();
    observe(*page);
    if (page->record && page->record->holder == m_options.node && page->record->incarnation == m_options.incarnation && !page->record->released) {
        // An attempt without an answer has succeeded after all. A token that was held before is not reused, because an engine may have refused it.
        if (page->record->token > m_lastToken) {
            startHolding(page->record->token - 1, m_writeSentAt);
        }
        if (m_held) {
            co_return;
        }
    }
    if (!isFree(*page)) {
        co_await net::sleepFor(watchInterval);
        co_return;
    }
    co_await net::sleepFor(acquireDelay(page->record.has_value()));
    if (!m_stopping) {
        co_await tryAcquire(*page);
    }
}

base::milliseconds command_lease::acquireDelay(bool hadHolder)
{
    std::uniform_int_distribution<int> randomDelay(0, maxAcquireDelayMs);
    const base::milliseconds jitter(hadHolder ? randomDelay(m_random) : 0);
    return m_options.processorShare < holderProcessorShare ? jitter + smallHostDelay : jitter;
}

asio::awaitable<void> command_lease::tryAcquire(lease_page page)
{
    m_writeSentAt = base::clock::bootNow();
    const base::time_point sentAt = m_writeSentAt;
    const lease_write written = co_await m_store.writeLease(ownRecord(), page.end);
    if (m_stopping) {
        co_return;
    }
    if (written.status == lease_write_status::written) {
        startHolding(written.offset, sentAt);
        co_return;
    }
    if (written.status != lease_write_status::conflict) {
        LOG4CXX_WARN(leaseLog(), base::log_event("takeFailed").with("why", m_store.lastReason().text).text());
        co_await net::sleepFor(m_backoff.next());
    }
}

void command_lease::observe(const lease_page &page)
{
    if (page.offset != m_latestOffset || !m_latest) {
        m_latestOffset = page.record ? page.offset : page.end - 1;
        m_latestAt = base::clock::bootNow();
    }
    m_latest = page.record;
    if (m_latest && m_latest->nodes > 0) {
        m_nodes = m_latest->nodes;
        if (m_nodesListener) {
            m_nodesListener(m_nodes);
        }
    }
}

void command_lease::startHolding(std::int64_t offset, base::time_point sentAt)
{
    const base::time_point now = base::clock::bootNow();
    if (sentAt + m_options.term <= now) {
        return;
    }
    held_lease held;
    held.token = offset + 1;
    held.validUntil = sentAt + m_options.term;
    held.commandsFrom = now;
    // Commands of an earlier process of this node need no gap.
    if (m_latest && m_latest->holder != m_options.node) {
        const bool commandsEndAtRenewal = m_latest->released || m_options.enginesCheckFencing;
        const base::time_point lastCommand = commandsEndAtRenewal ? m_latestAt : m_latestAt + m_options.term;
        held.commandsFrom = std::max(now, lastCommand + m_options.commandGap);
    }
    if (const std::optional<base::time_point> termEnd = unseenTermEnd()) {
        held.commandsFrom = std::max(held.commandsFrom, *termEnd + m_options.commandGap);
    }
    LOG4CXX_INFO(leaseLog(),
                 base::log_event("leaseTaken")
                     .with("token", held.token)
                     .with("before", m_latest ? m_latest->holder.value() : std::string())
                     .with("commandsInMs", (held.commandsFrom - now).count())
                     .text());
    m_held = held;
    m_lastToken = held.token;
    lease_record record = ownRecord();
    record.renewal = 0;
    record.token = held.token;
    m_latest = record;
    m_latestOffset = offset;
    m_latestAt = sentAt;
    if (m_listener) {
        m_listener(true);
    }
}

bool command_lease::isFree(const lease_page &page) const
{
    if (const std::optional<base::time_point> termEnd = unseenTermEnd(); termEnd && base::clock::bootNow() < *termEnd) {
        return false;
    }
    if (!page.record || page.record->released || page.record->holder == m_options.node) {
        return true;
    }
    return age() > m_options.term + clockSkewMargin;
}

void command_lease::noteHolder(const lease_record &record, std::int64_t offset, base::milliseconds age)
{
    if (m_held || offset < m_latestOffset) {
        return;
    }
    m_latest = record;
    m_latestOffset = offset;
    m_latestAt = base::clock::bootNow() - age;
}

void command_lease::resign(const std::string &reason)
{
    if (m_held) {
        lose(reason);
    }
}

void command_lease::lose(const std::string &reason)
{
    LOG4CXX_WARN(leaseLog(), base::log_event("leaseLost").with("token", m_held->token).with("why", reason).text());
    m_held.reset();
    if (m_listener) {
        m_listener(false);
    }
}

asio::awaitable<void> command_lease::release()
{
    m_stopping = true;
    bool isReleased = false;
    for (int attempt = 0; attempt < maxReleaseAttempts && m_held && !isReleased; ++attempt) {
        lease_record record = ownRecord();
        record.released = true;
        const lease_write written = co_await m_store.writeLease(record, m_latestOffset + 1);
        isReleased = written.status == lease_write_status::written;
        if (isReleased) {
            LOG4CXX_INFO(leaseLog(), base::log_event("leaseReleased").with("token", record.token).text());
        } else if (!co_await isStillOwnRecord()) {
            break;
        }
    }
    if (m_held && !isReleased) {
        LOG4CXX_WARN(leaseLog(), base::log_event("releaseFailed").with("token", m_held->token).with("why", m_store.lastReason().text).text());
    }
    m_held.reset();
}

/// A renewal that was on its way when the release began moves the record, so the release has to be written after it.
asio::awaitable<bool> command_lease::isStillOwnRecord()
{
    const std::optional<lease_page> page = co_await m_store.lease();
    const bool isOwn = page && page->record && m_held && page->record->token == m_held->token && !page->record->released;
    if (isOwn) {
        m_latestOffset = page->end - 1;
    }
    co_return isOwn || !page;
}

} // namespace chervilbend::fleet
