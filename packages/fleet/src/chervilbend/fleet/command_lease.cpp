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

/// A command is not sent when the term has less than this left, which covers its way to the engine.
constexpr base::milliseconds guard{150};
/// Others wait so much longer than the term, for clocks that run at different rates.
constexpr base::milliseconds margin{100};
/// Between two looks at a lease that another node holds.
constexpr base::milliseconds watchInterval{200};
/// Upper bound of a random wait before a free lease is taken, so that not all nodes try at once.
constexpr int takeSpreadMs = 150;

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
    , m_pause(seedOf(m_options))
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
    return m_held && !m_stopping && now >= m_held->commandsFrom && now + guard < m_held->validUntil;
}

std::optional<lease_record> command_lease::holder() const
{
    const bool isCurrent = m_seen && !m_seen->released && age() <= m_options.term + margin;
    return isCurrent ? m_seen : std::nullopt;
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
        lose("its term ended before it could be renewed");
        co_return;
    }
    const base::time_point sentAt = base::clock::bootNow();
    const lease_record record = ownRecord();
    const lease_write written = co_await m_store.writeLease(record, m_seenOffset + 1);
    if (!m_held || m_stopping) {
        co_return;
    }
    if (written.status == lease_write_status::written) {
        m_held->renewal = record.renewal;
        m_held->validUntil = sentAt + m_options.term;
        m_seen = record;
        m_seenOffset = written.offset;
        m_seenAt = sentAt;
        m_pause.reset();
        co_await net::sleepFor(m_options.renewalInterval);
        co_return;
    }
    LOG4CXX_WARN(leaseLog(), base::log_event("renewalFailed").with("token", m_held->token).with("why", m_store.lastReason().text).text());
    // Whether the record was written shows in the store.
    const std::optional<lease_page> page = co_await m_store.lease();
    if (!m_held || m_stopping) {
        co_return;
    }
    if (!page || !page->record) {
        co_await net::sleepFor(m_pause.next());
        co_return;
    }
    if (page->record->incarnation != m_options.incarnation || page->record->holder != m_options.node || page->record->token != m_held->token) {
        see(*page);
        lose("another node has taken it");
        co_return;
    }
    if (page->record->renewal == record.renewal) {
        m_held->renewal = record.renewal;
        m_held->validUntil = sentAt + m_options.term;
        m_seenAt = sentAt;
    }
    m_seen = page->record;
    m_seenOffset = page->end - 1;
    co_await net::sleepFor(retry_backoff::shortest());
}

asio::awaitable<void> command_lease::watch()
{
    const bool isOther = m_seen && (m_seen->holder != m_options.node || m_seen->incarnation != m_options.incarnation);
    if (isOther && holder()) {
        co_await net::sleepFor(watchInterval);
        co_return;
    }
    const std::optional<lease_page> page = co_await m_store.lease();
    if (m_stopping) {
        co_return;
    }
    if (!page) {
        co_await net::sleepFor(m_pause.next());
        co_return;
    }
    m_pause.reset();
    see(*page);
    if (page->record && page->record->holder == m_options.node && page->record->incarnation == m_options.incarnation && !page->record->released) {
        // A take without an answer was carried out after all. A token that was held before is not taken up again: it may have been refused.
        if (page->record->token > m_lastToken) {
            adopt(page->record->token - 1, m_sentAt);
        }
        if (m_held) {
            co_return;
        }
    }
    if (!isFree(*page)) {
        co_await net::sleepFor(watchInterval);
        co_return;
    }
    std::uniform_int_distribution<int> spread(0, takeSpreadMs);
    co_await net::sleepFor(base::milliseconds(page->record ? spread(m_random) : 0));
    if (!m_stopping) {
        co_await take(*page);
    }
}

asio::awaitable<void> command_lease::take(lease_page page)
{
    m_sentAt = base::clock::bootNow();
    const base::time_point sentAt = m_sentAt;
    const lease_write written = co_await m_store.writeLease(ownRecord(), page.end);
    if (m_stopping) {
        co_return;
    }
    if (written.status == lease_write_status::written) {
        adopt(written.offset, sentAt);
        co_return;
    }
    if (written.status != lease_write_status::conflict) {
        LOG4CXX_WARN(leaseLog(), base::log_event("takeFailed").with("why", m_store.lastReason().text).text());
        co_await net::sleepFor(m_pause.next());
    }
}

void command_lease::see(const lease_page &page)
{
    if (page.offset != m_seenOffset || !m_seen) {
        m_seenOffset = page.record ? page.offset : page.end - 1;
        m_seenAt = base::clock::bootNow();
    }
    m_seen = page.record;
    if (m_seen && m_seen->nodes > 0) {
        m_nodes = m_seen->nodes;
        if (m_nodesListener) {
            m_nodesListener(m_nodes);
        }
    }
}

void command_lease::adopt(std::int64_t offset, base::time_point sentAt)
{
    const base::time_point now = base::clock::bootNow();
    if (sentAt + m_options.term <= now) {
        return;
    }
    held_lease held;
    held.token = offset + 1;
    held.validUntil = sentAt + m_options.term;
    held.commandsFrom = now;
    // Commands of an earlier life of this node count as its own.
    if (m_seen && m_seen->holder != m_options.node) {
        const bool endsWithRenewal = m_seen->released || m_options.enginesCheckFencing;
        const base::time_point lastCommand = endsWithRenewal ? m_seenAt : m_seenAt + m_options.term;
        held.commandsFrom = std::max(now, lastCommand + m_options.commandGap);
    }
    LOG4CXX_INFO(leaseLog(),
                 base::log_event("leaseTaken")
                     .with("token", held.token)
                     .with("before", m_seen ? m_seen->holder.value() : std::string())
                     .with("commandsInMs", (held.commandsFrom - now).count())
                     .text());
    m_held = held;
    m_lastToken = held.token;
    lease_record record = ownRecord();
    record.renewal = 0;
    record.token = held.token;
    m_seen = record;
    m_seenOffset = offset;
    m_seenAt = sentAt;
    if (m_listener) {
        m_listener(true);
    }
}

bool command_lease::isFree(const lease_page &page) const
{
    if (!page.record || page.record->released || page.record->holder == m_options.node) {
        return true;
    }
    return age() > m_options.term + margin;
}

void command_lease::noteHolder(const lease_record &record, std::int64_t offset, base::milliseconds age)
{
    if (m_held || offset < m_seenOffset) {
        return;
    }
    m_seen = record;
    m_seenOffset = offset;
    m_seenAt = base::clock::bootNow() - age;
}

void command_lease::resign(const std::string &why)
{
    if (m_held) {
        lose(why);
    }
}

void command_lease::lose(const std::string &why)
{
    LOG4CXX_WARN(leaseLog(), base::log_event("leaseLost").with("token", m_held->token).with("why", why).text());
    m_held.reset();
    if (m_listener) {
        m_listener(false);
    }
}

asio::awaitable<void> command_lease::release()
{
    m_stopping = true;
    if (!m_held) {
        co_return;
    }
    lease_record record = ownRecord();
    record.released = true;
    const lease_write written = co_await m_store.writeLease(record, m_seenOffset + 1);
    LOG4CXX_INFO(leaseLog(),
                 base::log_event("leaseReleased").with("token", record.token).with("written", written.status == lease_write_status::written).text());
    m_held.reset();
}

} // namespace chervilbend::fleet
