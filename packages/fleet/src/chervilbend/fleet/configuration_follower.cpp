#include <chervilbend/fleet/configuration_follower.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/configuration_provider.hpp>
#include <chervilbend/fleet/fleet_store.hpp>
#include <chervilbend/fleet/retry_backoff.hpp>
#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

/// How long the store may hold a read while there is nothing new. Longer waits save calls; TCP keep-alive detects a connection that is lost
/// during the wait.
constexpr base::milliseconds longPoll{2'000};
/// Poll time after a recent failure or slow answer, when the store may lose a waiting read.
constexpr base::milliseconds shortPoll{600};
constexpr base::milliseconds shortPollPeriod{10'000};
/// Maximum poll time of the holder, whose reads are relayed to all nodes.
constexpr base::milliseconds holderPoll{400};
/// How long a confirmation of the store to the holder replaces a read: the holder's poll, one exchange and one lost exchange.
constexpr base::milliseconds holderConfirmationLifetime{1'200};
/// A read that does not wait is normally answered within a few ms.
constexpr base::milliseconds slowReadThreshold{150};
/// The store sends the newest records in base64.
constexpr double encodedSizeFactor = 4.0 / 3;
/// First allowance of a node without a configuration, which does not know how long the record is. It asks the copies and the other nodes meanwhile. It doubles
/// after each failure: reads that are given up and repeated keep the store busy.
constexpr base::milliseconds unknownRecordAllowance{1'000};
constexpr int maxAllowanceDoublings = 3;
/// Upper bound of a wait that changes of the state end.
constexpr base::milliseconds idleWait{10'000};

const log4cxx::LoggerPtr &configLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("config");
    return logger;
}

} // namespace

configuration_follower::configuration_follower(fleet_store &store, std::uint64_t seed)
    : m_store(store)
    , m_seed(seed)
{
    m_store.onConfigurationArriving([this] {
        const base::time_point now = base::clock::now();
        m_read.answerBeganAt = m_read.answerBeganAt.value_or(now);
        m_read.lastPartAt = now;
        if (m_answerDueAt) {
            m_answerDueAt = std::max(*m_answerDueAt, now + slowReadThreshold);
        }
    });
}

configuration_follower::~configuration_follower()
{
    m_store.onConfigurationArriving(nullptr);
}

void configuration_follower::onChange(std::function<void(const traffic_configuration &)> listener)
{
    m_listener = std::move(listener);
}

void configuration_follower::onTakenFromNode(std::function<void()> listener)
{
    m_takenListener = std::move(listener);
}

void configuration_follower::setNodeCount(int nodes)
{
    m_nodes = nodes;
}

void configuration_follower::setStoreReadRate(double megabytesPerSecond)
{
    constexpr double bytesPerMsOfMegabyte = 1'000;
    m_storeBytesPerMs = megabytesPerSecond * bytesPerMsOfMegabyte;
}

asio::awaitable<void> configuration_follower::run()
{
    retry_backoff backoff(m_seed);
    while (true) {
        if (co_await waitForHolder()) {
            continue;
        }
        const std::optional<std::int64_t> before = m_position;
        std::optional<configuration_page> page = co_await read(backoff.failures());
        if (page) {
            if (backoff.failures() > 0) {
                LOG4CXX_INFO(configLog(), "Configuration is readable again after " << backoff.failures() << " failed reads.");
            }
            backoff.reset();
            m_store.recovery().noteSuccess();
            m_isReadFailing = false;
            // The read does not confirm a version that has been taken from another node meanwhile.
            if (m_position == before && page->isComplete) {
                m_confirmedAt = std::max(m_confirmedAt, m_read.answerBeganAt.value_or(base::clock::now()));
            }
            m_position = std::max(m_position.value_or(page->next), page->next);
            m_storeEnd = std::max(m_storeEnd, page->end);
            if (before && m_position == before && !page->isComplete) {
                // The next record may be longer than an answer with records from a position, so the newest one is read.
                m_position.reset();
            }
            applyPage(std::move(*page));
            if (!m_current) {
                co_await net::sleepFor(backoff.minimum());
            }
            continue;
        }
        if (m_store.lastReason().kind == base::error_kind::recordInvalid && before) {
            LOG4CXX_INFO(configLog(), "Reading the newest configuration, because " << m_store.lastReason().text << '.');
            if (m_position == before) {
                m_position.reset();
            }
            continue;
        }
        logFailedRead(backoff.failures() + 1);
        if (!std::exchange(m_isReadFailing, true)) {
            m_nodeNeeded.notify();
        }
        co_await m_store.recovery().waitForRetry(store_task::configuration, backoff.next());
    }
}

asio::awaitable<std::optional<configuration_page>> configuration_follower::read(int failures)
{
    const base::time_point requestedAt = base::clock::now();
    base::milliseconds wait = requestedAt < m_shortPollUntil ? shortPoll : longPoll;
    if (m_isHolder) {
        wait = std::min(wait, holderPoll);
    } else if (m_position && *m_position < m_holderPosition) {
        wait = base::milliseconds(0);
    }
    std::optional<configuration_page> page;
    const bool isNewestOnly = readsNewestOnly(failures > 0);
    if (isNewestOnly) {
        wait = base::milliseconds(0);
    }
    m_store.setAnswerAllowance(answerAllowance(failures));
    m_read = {requestedAt, std::nullopt, std::nullopt};
    m_answerDueAt = requestedAt + wait + slowReadThreshold;
    if (isNewestOnly) {
        page = co_await m_store.newestConfiguration();
    } else {
        page = co_await m_store.configurationFrom(*m_position, wait);
    }
    m_answerDueAt.reset();
    if (!page || base::clock::now() - requestedAt > wait + slowReadThreshold) {
        noteStoreProblem();
    }
    co_return page;
}

void configuration_follower::applyPage(configuration_page page)
{
    const std::int64_t before = m_current ? m_current->version : 0;
    const std::size_t bytes = page.record.size();
    const base::time_point decodedAt = base::clock::now();
    applyConfiguration(std::move(page.newest), std::move(page.record));
    if (m_current && m_current->version != before) {
        const base::time_point beganAt = m_read.answerBeganAt.value_or(decodedAt);
        const base::time_point arrivedAt = m_read.lastPartAt.value_or(decodedAt);
        LOG4CXX_INFO(configLog(),
                     base::log_event("configurationRead")
                         .with("version", m_current->version)
                         .with("bytes", bytes)
                         .with("knownMs", (m_read.sentAt - std::min(m_newerKnownAt.value_or(m_read.sentAt), m_read.sentAt)).count())
                         .with("answerMs", (beganAt - m_read.sentAt).count())
                         .with("transferMs", (arrivedAt - beganAt).count())
                         .with("decodeMs", (decodedAt - arrivedAt).count())
                         .with("applyMs", (base::clock::now() - decodedAt).count())
                         .text());
    }
    if (recordsBehind().value_or(0) == 0) {
        m_newerKnownAt.reset();
    }
}

void configuration_follower::logFailedRead(int failures) const
{
    const std::string &why = m_store.lastReason().text;
    if (failures == 1) {
        LOG4CXX_WARN(configLog(), "Cannot read the configuration, keeping the version in force: " << why);
        return;
    }
    LOG4CXX_WARN(configLog(),
                 base::log_event("configurationUnreadable")
                     .with("version", m_current ? m_current->version : 0)
                     .with("failures", failures)
                     .with("recordsBehind", recordsBehind().value_or(0))
                     .with("why", why)
                     .text());
}

std::optional<std::int64_t> configuration_follower::recordsBehind() const
{
    const std::int64_t end = std::max(m_holderPosition, m_storeEnd);
    return m_position && end >= 0 ? std::optional(std::max<std::int64_t>(end - *m_position, 0)) : std::nullopt;
}

base::milliseconds configuration_follower::answerAllowance(int failures) const
{
    if (!m_current) {
        return unknownRecordAllowance * (1 << std::min(failures, maxAllowanceDoublings));
    }
    const double bytes = static_cast<double>(m_record.size()) * encodedSizeFactor * m_nodes;
    return base::milliseconds(static_cast<std::int64_t>(bytes / m_storeBytesPerMs));
}

bool configuration_follower::readsNewestOnly(bool afterFailure) const
{
    if (!m_position) {
        return true;
    }
    // Only the newest version counts, and each missed one takes a thin link as long. A single record is shorter as it is than among the newest records.
    const std::int64_t behind = recordsBehind().value_or(0);
    return behind > 1 || (afterFailure && behind != 1);
}

asio::awaitable<bool> configuration_follower::waitForHolder()
{
    const bool isConfirmed = !m_isHolder && m_current && m_position && *m_position >= m_holderPosition && base::clock::now() < m_holderConfirmedUntil;
    if (isConfirmed) {
        co_await m_wake.wait(m_holderConfirmedUntil);
    }
    co_return isConfirmed;
}

void configuration_follower::setHolder(bool isHolder)
{
    m_isHolder = isHolder;
    m_wake.notify();
    m_nodeNeeded.notify();
}

void configuration_follower::noteHolderPosition(std::int64_t position, base::time_point confirmedAt)
{
    m_holderConfirmedUntil = std::max(m_holderConfirmedUntil, confirmedAt + holderConfirmationLifetime);
    if (m_position && *m_position >= position) {
        m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    } else if (position > m_holderPosition) {
        m_holderPosition = position;
        m_newerKnownAt = m_newerKnownAt.value_or(base::clock::now());
        m_wake.notify();
        m_nodeNeeded.notify();
    }
}

bool configuration_follower::applyCopy(traffic_configuration copy, std::string record)
{
    if (m_current) {
        return false;
    }
    applyConfiguration(std::move(copy), std::move(record));
    return true;
}

bool configuration_follower::isUnreadable() const
{
    return m_isReadFailing || (m_answerDueAt && base::clock::now() > *m_answerDueAt);
}

void configuration_follower::noteStoreProblem()
{
    m_shortPollUntil = base::clock::now() + shortPollPeriod;
}

asio::awaitable<void> configuration_follower::followNodes(configuration_provider &provider)
{
    retry_backoff backoff(m_seed);
    while (true) {
        if (!needsNode()) {
            backoff.reset();
            co_await m_nodeNeeded.wait(base::clock::now() + idleWait);
        } else if (co_await askNode(provider)) {
            backoff.reset();
        } else {
            // A newer position of the holder ends the wait: the holder has answered a moment ago.
            co_await m_nodeNeeded.wait(base::clock::now() + backoff.next());
        }
    }
}

bool configuration_follower::needsNode() const
{
    return m_isReadFailing && !m_isHolder && (!m_current || m_position.value_or(-1) < m_holderPosition);
}

asio::awaitable<bool> configuration_follower::askNode(configuration_provider &provider)
{
    const base::time_point requestedAt = base::clock::now();
    std::optional<std::int64_t> known;
    if (m_current) {
        known = m_current->version;
    }
    std::optional<remote_configuration> answer = co_await provider.newerThan(known);
    if (!answer) {
        co_return false;
    }
    std::optional<traffic_configuration> newest = m_store.decodeConfiguration(answer->record);
    if (!newest || newest->version != answer->version) {
        LOG4CXX_WARN(configLog(), "Ignored the configuration " << answer->version << " of node " << answer->node.value() << ": its record is not valid");
        co_return false;
    }
    if (m_current && newest->version <= m_current->version) {
        co_return false;
    }
    LOG4CXX_INFO(configLog(),
                 "Took configuration " << newest->version << " from node " << answer->node.value() << ", which the store confirmed " << answer->age.count()
                                       << " ms ago.");
    // A smaller position is that of a store which has since come back from an older copy: its confirmation does not hold for the present one.
    if (answer->position >= m_position.value_or(-1)) {
        m_position = answer->position;
        m_confirmedAt = std::max(m_confirmedAt, requestedAt - answer->age);
    }
    applyConfiguration(std::move(newest), std::move(answer->record));
    if (m_takenListener) {
        m_takenListener();
    }
    co_return true;
}

void configuration_follower::applyConfiguration(std::optional<traffic_configuration> newest, std::string record)
{
    if (!newest || (m_current && newest->version <= m_current->version)) {
        return;
    }
    LOG4CXX_INFO(configLog(),
                 "Configuration " << newest->version << " is in force: " << newest->routes.size() << " routes and " << newest->services.size()
                                  << " services; previous version " << (m_current ? m_current->version : 0) << '.');
    m_current = std::make_shared<const traffic_configuration>(std::move(*newest));
    m_record = std::move(record);
    if (m_listener) {
        m_listener(*m_current);
    }
}

} // namespace chervilbend::fleet
