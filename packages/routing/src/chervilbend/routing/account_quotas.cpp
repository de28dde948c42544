#include <chervilbend/routing/account_quotas.hpp>

#include <chervilbend/routing/internal/quota_time.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilbend::routing
{

namespace
{

/// Time constant of the estimate of an account's demand at this node.
constexpr double demandSeconds = 1;
/// Demand for which a node wants grants in advance: until its next report, and some more for an uneven load.
constexpr double expectedSeconds = 0.5;
/// Requests for which a node wants to hold units of an account that it rarely sees, so that it need not ask the allocator for each.
constexpr double reservedRequests = 2;
/// Part of the burst that such reserves of all nodes may take together.
constexpr double reservedPart = 0.5;
/// Part of the burst that has to be left for requests that ask. Below it, nodes give their reserves back.
constexpr double unreservedPart = 0.25;
/// A node gives back what it holds beyond this multiple of quota_usage::expected.
constexpr double keptFactor = 3;
/// Weight of a request in the mean cost of an account's requests.
constexpr double costWeight = 0.1;
/// An account that was not used for so long is left out of the reports.
constexpr base::milliseconds useLifetime{10'000};
/// Upper bound of the time in which requests beyond the balance are refused without asking the allocator again.
constexpr base::milliseconds longestAskPause{500};
/// Told to callers whose request the allocator has not decided in time.
constexpr base::milliseconds undecidedRetryAfter{500};
/// Assumed until the number of nodes is known, so that an isolated node of a large fleet does not take the part of one of a small fleet.
constexpr int leastNodes = 64;
/// Part of an equal share that a node may spend that has never had an answer: the others may have the whole rate.
constexpr double freshPart = 0.5;
/// Time over which the spending of an isolated node may vary.
constexpr double isolatedSeconds = 1;
constexpr base::milliseconds leastRetryAfter{1};
/// Units by which a grant may be short of the cost that it was asked for: messages have thousandths.
constexpr double roundingTolerance = 0.01;

} // namespace

void account_quotas::setLimits(const std::map<base::account_id, quota_limit> &limits)
{
    for (auto known = m_accounts.begin(); known != m_accounts.end();) {
        if (limits.contains(known->first)) {
            ++known;
            continue;
        }
        admitWaiting(known->second);
        known = m_accounts.erase(known);
    }
    for (const auto &[id, limit] : limits) {
        account_state &state = m_accounts[id];
        if (state.limit.unit != limit.unit) {
            // Costs, balances and shares of another unit mean nothing in this one.
            admitWaiting(state);
            state = account_state{};
        }
        state.limit = limit;
    }
    if (m_decisionListener) {
        m_decisionListener();
    }
}

void account_quotas::admitWaiting(account_state &state)
{
    for (const std::shared_ptr<quota_request> &request : state.waiting) {
        request->decision = quota_decision::admitted;
    }
    state.waiting.clear();
}

void account_quotas::setOvershoot(double overshoot)
{
    m_overshoot = overshoot;
}

void account_quotas::setNodeCount(int nodes)
{
    m_nodes = std::max(1, nodes);
}

void account_quotas::setIdentity(base::node_id node, std::int64_t process)
{
    m_node = std::move(node);
    m_process = process;
}

std::shared_ptr<quota_request> account_quotas::charge(const base::account_id &account, double cost)
{
    auto request = std::make_shared<quota_request>();
    request->account = account;
    request->cost = cost;
    request->reportBefore = m_lastReport;
    const auto known = m_accounts.find(account);
    if (known == m_accounts.end()) {
        request->decision = quota_decision::admitted;
        return request;
    }
    account_state &state = known->second;
    request->unit = state.limit.unit;
    const base::time_point now = base::clock::bootNow();
    expire(state, now);
    state.demand += cost;
    state.meanCost += (state.meanCost > 0 ? costWeight : 1) * (cost - state.meanCost);
    state.usedAt = now;
    if (state.waiting.empty() && spend(state, cost, now)) {
        request->decision = quota_decision::admitted;
    } else if (isIsolated(state)) {
        refuse(*request, accrualTime(cost - state.isolatedBalance, isolatedRate(state, now), leastRetryAfter));
    } else if (now < state.askAgainAt) {
        refuse(*request, std::max(state.askAgainAt - now, accrualTime(cost, state.share.rate, leastRetryAfter)));
    } else {
        state.waiting.push_back(request);
        if (m_wantedListener) {
            m_wantedListener();
        }
    }
    return request;
}

void account_quotas::expire(account_state &state, base::time_point now) const
{
    if (now >= state.grantedUntil) {
        state.balance = 0;
    }
}

bool account_quotas::spend(account_state &state, double cost, base::time_point now)
{
    if (state.balance >= cost - roundingTolerance) {
        state.balance = std::max(0.0, state.balance - cost);
        return true;
    }
    return isIsolated(state) && spendIsolated(state, cost, now);
}

bool account_quotas::isIsolated(const account_state &state) const
{
    return m_isIsolated || state.isUnknownToAllocator;
}

bool account_quotas::mayUseShares(base::time_point now) const
{
    return !m_answeredAt || now < *m_answeredAt + quotaShareLifetime;
}

bool account_quotas::isFresh(const account_state &state) const
{
    return !m_answeredAt || state.sharedRate <= 0;
}

double account_quotas::isolatedRate(const account_state &state, base::time_point now) const
{
    const double equalShare = state.limit.rate / std::max(m_nodes, leastNodes);
    if (!mayUseShares(now)) {
        return m_overshoot * equalShare / 2;
    }
    if (isFresh(state)) {
        return equalShare * freshPart;
    }
    // The configuration of this node may have a lower limit than the one that the share is a part of.
    return state.share.rate * (state.sharedRate > state.limit.rate ? state.limit.rate / state.sharedRate : 1);
}

double account_quotas::isolatedCapacity(const account_state &state, base::time_point now) const
{
    const double burstPart = !isFresh(state) || !mayUseShares(now) ? 0 : state.limit.burst / std::max(m_nodes, leastNodes);
    return std::max(burstPart, isolatedRate(state, now) * isolatedSeconds);
}

void account_quotas::startIsolation(account_state &state, base::time_point now) const
{
    state.isolatedAt = now;
    if (isFresh(state)) {
        state.isolatedBalance = isolatedCapacity(state, now);
        return;
    }
    // The node's part of what the allocator had left.
    const double part = state.limit.rate > 0 ? std::min(1.0, state.share.rate / state.limit.rate) : 0;
    state.isolatedBalance = std::min(state.share.level * part, isolatedCapacity(state, now));
}

bool account_quotas::spendIsolated(account_state &state, double cost, base::time_point now) const
{
    const double capacity = isolatedCapacity(state, now);
    const double accrued = isolatedRate(state, now) * secondsOf(now - state.isolatedAt);
    state.isolatedBalance = std::min(capacity, state.isolatedBalance + accrued);
    state.isolatedAt = now;
    // A request that costs more than the share of a second is covered by the seconds after it.
    const double needed = mayUseShares(now) ? std::min(cost, capacity) : cost;
    if (capacity <= 0 || state.isolatedBalance < needed) {
        return false;
    }
    state.isolatedBalance -= cost;
    state.spentIsolated += cost;
    return true;
}

void account_quotas::refuse(quota_request &request, base::milliseconds retryAfter)
{
    request.decision = quota_decision::refused;
    request.retryAfter = std::clamp(retryAfter, leastRetryAfter, mostQuotaWait);
}

void account_quotas::abandon(quota_request &request)
{
    const auto known = m_accounts.find(request.account);
    if (request.decision != quota_decision::waiting || known == m_accounts.end()) {
        return;
    }
    std::erase_if(known->second.waiting, [&](const std::shared_ptr<quota_request> &each) { return each.get() == &request; });
    refuse(request, undecidedRetryAfter);
}

void account_quotas::refund(const quota_request &request)
{
    const auto known = m_accounts.find(request.account);
    if (request.decision != quota_decision::admitted || known == m_accounts.end()) {
        return;
    }
    account_state &state = known->second;
    if (request.unit != state.limit.unit) {
        return;
    }
    const base::time_point now = base::clock::bootNow();
    expire(state, now);
    if (now < state.grantedUntil) {
        state.balance += request.cost;
    } else if (isIsolated(state) && state.spentIsolated >= request.cost) {
        state.isolatedBalance += request.cost;
        state.spentIsolated -= request.cost;
    }
}

double account_quotas::reserveFor(const account_state &state) const
{
    if (state.share.level < state.limit.burst * unreservedPart) {
        return 0;
    }
    return std::min(state.limit.burst * reservedPart / std::max(m_nodes, leastNodes), state.meanCost * reservedRequests);
}

quota_usage account_quotas::usageOf(account_state &state, base::time_point now, double elapsedSeconds) const
{
    expire(state, now);
    if (elapsedSeconds > 0) {
        const double weight = 1 - std::exp(-elapsedSeconds / demandSeconds);
        state.demandRate += weight * (std::exchange(state.demand, 0) / elapsedSeconds - state.demandRate);
    }
    quota_usage usage;
    usage.demandRate = state.demandRate;
    usage.expected = std::max(state.demandRate * expectedSeconds, reserveFor(state));
    if (usage.expected < state.meanCost) {
        usage.expected = 0;
    }
    usage.returned = state.waiting.empty() ? std::max(0.0, state.balance - usage.expected * keptFactor) : 0;
    state.balance -= usage.returned;
    usage.balance = state.balance;
    for (const std::shared_ptr<quota_request> &request : state.waiting) {
        usage.waiting += request->cost;
    }
    usage.firstWaiting = state.waiting.empty() ? 0 : state.waiting.front()->cost;
    usage.spentIsolated = state.spentIsolated;
    usage.share = state.share;
    usage.unit = state.limit.unit;
    return usage;
}

quota_report account_quotas::takeReport()
{
    const base::time_point now = base::clock::bootNow();
    quota_report report;
    report.node = m_node;
    report.process = m_process;
    report.term = m_term;
    report.number = ++m_lastReport;
    report.takenAt = now;
    if (m_answeredAt) {
        report.answerAge = now - *m_answeredAt;
    }
    const double elapsedSeconds = secondsOf(now - std::exchange(m_reportedAt, now));
    for (auto &[id, state] : m_accounts) {
        if (now - state.usedAt < useLifetime && state.usedAt > base::time_point{}) {
            report.accounts[id] = usageOf(state, now, elapsedSeconds);
        } else {
            state.demand = state.demandRate = 0;
        }
    }
    return report;
}

void account_quotas::apply(const quota_report &report, const quota_answer &answer)
{
    if (!answer.isGranting) {
        noteUnanswered();
        return;
    }
    const base::time_point now = base::clock::bootNow();
    m_answeredAt = std::max(m_answeredAt.value_or(report.takenAt), report.takenAt);
    m_term = answer.term;
    setIsolated(false);
    for (auto &[id, state] : m_accounts) {
        const auto usage = report.accounts.find(id);
        const auto grant = answer.accounts.find(id);
        if (usage != report.accounts.end() && usage->second.unit.value_or(state.limit.unit) != state.limit.unit) {
            // The unit has changed since the report.
            decideWaiting(state, 0, base::milliseconds(0), now);
            continue;
        }
        if (usage == report.accounts.end() || grant == answer.accounts.end()) {
            state.share = {};
            state.sharedRate = 0;
            setUnknown(state, usage != report.accounts.end(), now);
            decideWaiting(state, 0, base::milliseconds(0), now);
            continue;
        }
        setUnknown(state, false, now);
        expire(state, now);
        state.balance += grant->second.granted;
        state.grantedUntil = report.takenAt + quotaGrantLifetime;
        state.share = grant->second.share;
        state.sharedRate = state.limit.rate;
        state.spentIsolated = std::max(0.0, state.spentIsolated - usage->second.spentIsolated);
        if (grant->second.retryAfter > base::milliseconds(0)) {
            state.askAgainAt = now + std::min(grant->second.retryAfter, longestAskPause);
        }
        decideWaiting(state, report.number, grant->second.retryAfter, now);
    }
    if (m_decisionListener) {
        m_decisionListener();
    }
}

void account_quotas::decideWaiting(account_state &state, std::uint64_t decidedReport, base::milliseconds retryAfter, base::time_point now)
{
    while (!state.waiting.empty()) {
        quota_request &request = *state.waiting.front();
        if (spend(state, request.cost, now)) {
            request.decision = quota_decision::admitted;
        } else if (request.reportBefore < decidedReport) {
            refuse(request, retryAfter);
        } else {
            break;
        }
        state.waiting.pop_front();
    }
    if (!state.waiting.empty() && m_wantedListener) {
        m_wantedListener();
    }
}

void account_quotas::noteUnanswered()
{
    setIsolated(true);
    const base::time_point now = base::clock::bootNow();
    for (auto &[id, state] : m_accounts) {
        const base::milliseconds wait =
            state.waiting.empty() ? base::milliseconds(0) : accrualTime(state.waiting.front()->cost, isolatedRate(state, now), leastRetryAfter);
        decideWaiting(state, m_lastReport + 1, wait, now);
    }
    if (m_decisionListener) {
        m_decisionListener();
    }
}

void account_quotas::setUnknown(account_state &state, bool isUnknown, base::time_point now) const
{
    if (std::exchange(state.isUnknownToAllocator, isUnknown) != isUnknown && isUnknown) {
        startIsolation(state, now);
    }
}

void account_quotas::setIsolated(bool isIsolated)
{
    if (std::exchange(m_isIsolated, isIsolated) == isIsolated) {
        return;
    }
    if (isIsolated) {
        const base::time_point now = base::clock::bootNow();
        for (auto &[id, state] : m_accounts) {
            startIsolation(state, now);
        }
    }
    if (m_isolationListener) {
        m_isolationListener(isIsolated);
    }
}

void account_quotas::onGrantsWanted(std::function<void()> listener)
{
    m_wantedListener = std::move(listener);
}

void account_quotas::onDecision(std::function<void()> listener)
{
    m_decisionListener = std::move(listener);
}

void account_quotas::onIsolation(std::function<void(bool)> listener)
{
    m_isolationListener = std::move(listener);
}

double account_quotas::balance(const base::account_id &account) const
{
    const auto known = m_accounts.find(account);
    return known == m_accounts.end() || base::clock::bootNow() >= known->second.grantedUntil ? 0 : known->second.balance;
}

base::milliseconds account_quotas::answerAge() const
{
    return m_answeredAt ? base::clock::bootNow() - *m_answeredAt : base::milliseconds::max();
}

bool account_quotas::hasUsageToReport() const
{
    const base::time_point now = base::clock::bootNow();
    return std::any_of(m_accounts.begin(), m_accounts.end(), [&](const auto &known) {
        return !known.second.waiting.empty() || (known.second.usedAt > base::time_point{} && now - known.second.usedAt < useLifetime);
    });
}

} // namespace chervilbend::routing
