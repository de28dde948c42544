#include <chervilbend/fleet/rate_limit_exchange.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/rate_limit_json.hpp>
#include <chervilbend/fleet/rate_limit_method.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/peers/rpc_caller.hpp>
#include <chervilbend/routing/account_quotas.hpp>
#include <chervilbend/routing/endpoint_rate_limits.hpp>

#include <cmath>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

/// Interval of reports while no node holds the lease.
constexpr base::milliseconds reportInterval{250};
/// Requests that need a grant within this time share a report.
constexpr base::milliseconds leastInterval{50};
/// A request that waits for a grant is better refused than kept waiting for an allocator that does not answer.
constexpr base::milliseconds answerTimeout{300};

const log4cxx::LoggerPtr &limitLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("limits");
    return logger;
}

std::int64_t allocatorId(const base::node_id &node, std::int64_t incarnation)
{
    // Positive, so that it is never 0, and exact in every JSON implementation.
    constexpr std::uint64_t mask = (std::uint64_t{1} << 52U) - 1;
    return static_cast<std::int64_t>(base::hash64(node.value(), static_cast<std::uint64_t>(incarnation)) & mask) + 1;
}

} // namespace

rate_limit_exchange::rate_limit_exchange(base::node_id node,
                                         std::int64_t incarnation,
                                         const command_lease &lease,
                                         peers::rpc_caller &peers,
                                         routing::endpoint_rate_limits &limits,
                                         routing::account_quotas &quotas)
    : m_node(std::move(node))
    , m_lease(lease)
    , m_peers(peers)
    , m_limits(limits)
    , m_quotas(quotas)
    , m_allocator(allocatorId(m_node, incarnation))
{
    const auto askNow = [this] {
        m_isUrgent = true;
        m_grantsWanted.notify();
    };
    m_limits.onGrantsWanted(askNow);
    m_quotas.onGrantsWanted(askNow);
    m_quotas.setIdentity(m_node, incarnation);
}

void rate_limit_exchange::setQuotaLimits(const std::map<base::account_id, routing::quota_limit> &limits)
{
    for (const auto &[account, limit] : limits) {
        const auto known = m_quotaLimits.find(account);
        if (known == m_quotaLimits.end() || known->second != limit) {
            LOG4CXX_INFO(limitLog(),
                         base::log_event("quotaChanged")
                             .with("account", account.value())
                             .with("unitsPerSecond", std::llround(limit.rate))
                             .with("burst", std::llround(limit.burst))
                             .text());
        }
    }
    for (const auto &[account, limit] : m_quotaLimits) {
        if (!limits.contains(account)) {
            LOG4CXX_INFO(limitLog(), base::log_event("quotaRemoved").with("account", account.value()).text());
        }
    }
    m_quotaLimits = limits;
    m_quotas.setLimits(limits);
    m_quotaAllocator.setLimits(limits);
}

void rate_limit_exchange::onDecision(std::function<void()> listener)
{
    m_listener = std::move(listener);
}

void rate_limit_exchange::notify() const
{
    if (m_listener) {
        m_listener();
    }
}

void rate_limit_exchange::leaseChanged(bool isHolder)
{
    if (isHolder) {
        // The fencing token differs for each acquisition of the lease.
        m_quotaAllocator.start(m_lease.token());
    }
}

asio::awaitable<void> rate_limit_exchange::run()
{
    while (true) {
        if (!m_isUrgent) {
            co_await m_grantsWanted.wait(base::clock::now() + reportInterval);
        }
        const bool isPeriodic = !m_lease.holder() && (m_limits.hasNews() || m_quotas.hasUsageToReport());
        if (std::exchange(m_isUrgent, false) || isPeriodic) {
            co_await exchange();
            co_await net::sleepFor(leastInterval);
        }
    }
}

asio::awaitable<void> rate_limit_exchange::exchange()
{
    const std::optional<lease_record> holder = m_lease.lastHolder();
    if (m_lease.isHolder() || (holder && holder->holder == m_node)) {
        exchangeLocally();
        co_return;
    }
    const routing::rate_limit_report report = takeReport();
    const std::optional<net::address> address = holder ? net::parseAddress(holder->peerAddress) : std::nullopt;
    std::optional<routing::rate_limit_answer> answer;
    const base::time_point requestedAt = base::clock::now();
    if (address) {
        const Json::Value message = toJson(report);
        const std::optional<Json::Value> json = co_await m_peers.call(*address, rateLimitMethodName, message, answerTimeout);
        answer = json ? readRateLimitAnswer(*json) : std::nullopt;
    }
    if (answer) {
        apply(report, *answer, requestedAt);
    } else {
        noteUnanswered(report);
    }
}

routing::rate_limit_report rate_limit_exchange::takeReport()
{
    routing::rate_limit_report report = m_limits.takeReport();
    report.quotas = m_quotas.takeReport();
    return report;
}

void rate_limit_exchange::apply(const routing::rate_limit_report &report, const routing::rate_limit_answer &answer, base::time_point requestedAt)
{
    m_limits.apply(report, answer, requestedAt);
    m_quotas.apply(report.quotas, answer.quotas);
    notify();
}

void rate_limit_exchange::noteUnanswered(const routing::rate_limit_report &report)
{
    m_limits.noteUnanswered(report);
    m_quotas.noteUnanswered();
    notify();
}

void rate_limit_exchange::exchangeLocally()
{
    const routing::rate_limit_report report = takeReport();
    apply(report, answer(report), base::clock::now());
}

routing::rate_limit_answer rate_limit_exchange::answer(const routing::rate_limit_report &report)
{
    routing::rate_limit_answer answer = m_allocator.answer(report, m_lease.isHolder());
    answer.quotas = m_quotaAllocator.answer(report.quotas, m_lease.isHolder());
    return answer;
}

} // namespace chervilbend::fleet
