#include <chervilbend/routing/quota_allocator.hpp>

#include <chervilbend/routing/internal/quota_time.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// An account with a rate and no burst could otherwise use nothing: its bucket holds at least what accrues in this time.
constexpr double leastCapacitySeconds = 0.25;
/// Below what all nodes ask for in this time, the rest is divided by demand; otherwise whoever reports first would take it.
constexpr double scarceSeconds = 0.5;
/// A node asks for all that it was refused in one report, so it may take more than its part of what is left at the moment.
constexpr double scarceFactor = 2;
/// Part of the rest that one report takes in advance, so that requests that wait elsewhere find something.
constexpr double advancePart = 0.25;
constexpr base::milliseconds leastRetryAfter{100};

/// Seconds that two spans of time have in common.
double overlap(base::time_point from, base::time_point to, base::time_point otherFrom, base::time_point otherTo)
{
    return std::max(0.0, secondsOf(std::min(to, otherTo) - std::max(from, otherFrom)));
}

double fullCapacityOf(const quota_limit &limit)
{
    return std::max(limit.burst, limit.rate * leastCapacitySeconds);
}

} // namespace

void quota_allocator::setLimits(const std::map<base::account_id, quota_limit> &limits)
{
    const base::time_point now = base::clock::bootNow();
    std::erase_if(m_accounts, [&](const auto &known) { return !limits.contains(known.first); });
    for (const auto &[id, limit] : limits) {
        const auto [known, isNew] = m_accounts.try_emplace(id);
        account_bucket &bucket = known->second;
        if (isNew || bucket.limit.unit != limit.unit) {
            // Levels and shares of another unit mean nothing in this one.
            bucket = account_bucket{};
            bucket.refilledAt = now;
            bucket.available = fullCapacityOf(limit);
        } else {
            refill(bucket, now);
        }
        const double cut = bucket.limit.rate > limit.rate ? limit.rate / bucket.limit.rate : 1;
        for (auto &[node, share] : bucket.nodes) {
            share.rate *= cut;
        }
        bucket.limit = limit;
        bucket.available = std::min(bucket.available, capacityOf(bucket, now));
    }
}

void quota_allocator::start(std::int64_t term)
{
    m_term = term;
    const base::time_point now = base::clock::bootNow();
    for (auto &[id, bucket] : m_accounts) {
        bucket.nodes.clear();
        bucket.hasInherited = false;
        bucket.inheritedRate = 0;
        bucket.refilledAt = now;
        // The first report of a node that has used the account contains the level that the previous allocator had left.
        bucket.available = fullCapacityOf(bucket.limit);
    }
}

quota_answer quota_allocator::answer(const quota_report &report, bool isHolder)
{
    quota_answer answer;
    answer.isGranting = isHolder;
    if (!isHolder) {
        return answer;
    }
    answer.term = m_term;
    const bool isOwnGrant = report.term == m_term;
    const base::time_point now = base::clock::bootNow();
    for (auto &[id, bucket] : m_accounts) {
        const auto usage = report.accounts.find(id);
        if (usage != report.accounts.end() && usage->second.unit.value_or(bucket.limit.unit) == bucket.limit.unit) {
            answer.accounts[id] = answerFor(bucket, report, usage->second, isOwnGrant, now);
        } else {
            bucket.nodes.erase(report.node);
        }
    }
    return answer;
}

quota_grant quota_allocator::answerFor(account_bucket &bucket, const quota_report &report, const quota_usage &usage, bool isOwnGrant, base::time_point now)
{
    adopt(bucket, report, usage, isOwnGrant, now);
    refill(bucket, now);
    settle(bucket, report, usage, isOwnGrant, now);
    node_share &node = bucket.nodes[report.node];
    node.process = report.process;
    node.demandRate = usage.demandRate;
    node.outstanding = usage.balance;
    node.answeredAt = now;
    double demandSum = 0;
    double otherRates = now < bucket.inheritedUntil ? bucket.inheritedRate : 0;
    for (const auto &[id, share] : bucket.nodes) {
        demandSum += share.demandRate;
        otherRates += id == report.node ? 0 : share.rate;
    }
    const double part = demandSum > 0 ? usage.demandRate / demandSum : 0;
    node.rate = std::clamp(bucket.limit.rate * part, 0.0, std::max(0.0, bucket.limit.rate - otherRates));
    const grant_parts granted = divide(bucket, usage, demandSum, now);
    node.outstanding += granted.advance;
    quota_grant result;
    result.granted = granted.waiting + granted.advance;
    result.share = {node.rate, otherRates + node.rate, std::max(0.0, bucket.available)};
    if (granted.waiting < usage.waiting - usage.balance) {
        // Others ask too, so what this node can count on is its part of the rate.
        result.retryAfter = accrualTime(usage.firstWaiting, bucket.limit.rate * part, leastRetryAfter);
    }
    return result;
}

void quota_allocator::adopt(account_bucket &bucket, const quota_report &report, const quota_usage &usage, bool isOwnGrant, base::time_point now)
{
    const auto known = bucket.nodes.find(report.node);
    if (known != bucket.nodes.end() && known->second.process == report.process) {
        return;
    }
    // The shares and grants of an earlier process ended with it.
    bucket.nodes.erase(report.node);
    // A node whose reports arrive out of order may bring a share that this allocator has named and dropped.
    if (isOwnGrant || !report.answerAge || usage.share.sumOfRates <= 0) {
        return;
    }
    if (!bucket.hasInherited) {
        bucket.hasInherited = true;
        bucket.inheritedFrom = now - *report.answerAge;
        bucket.inheritedUntil = bucket.inheritedFrom + quotaShareLifetime;
        bucket.inheritedRate = std::min(usage.share.sumOfRates, bucket.limit.rate);
        bucket.available = std::min(bucket.available, usage.share.level);
        bucket.refilledAt = bucket.inheritedFrom;
    } else {
        // Withheld so far for this node, which says now what it has spent.
        bucket.available += usage.share.rate * overlap(bucket.inheritedFrom, bucket.inheritedUntil, bucket.inheritedFrom, bucket.refilledAt);
    }
    bucket.inheritedRate = std::max(0.0, bucket.inheritedRate - usage.share.rate);
}

void quota_allocator::settle(account_bucket &bucket, const quota_report &report, const quota_usage &usage, bool isOwnGrant, base::time_point now)
{
    const auto known = bucket.nodes.find(report.node);
    if (known != bucket.nodes.end()) {
        // What was withheld for the time of its silence, against what the node says that it has spent.
        const base::time_point silentFrom = known->second.answeredAt + quotaGrantLifetime;
        bucket.available += known->second.rate * overlap(silentFrom, now, silentFrom, known->second.answeredAt + quotaShareLifetime);
    }
    bucket.available += isOwnGrant ? usage.returned : 0;
    // A node whose last answer was lost reports the same units again, so the debt is bounded.
    bucket.available = std::max(bucket.available - usage.spentIsolated, std::min(bucket.available, -fullCapacityOf(bucket.limit)));
    bucket.available = std::min(bucket.available, capacityOf(bucket, now));
}

double quota_allocator::reservedUnits(const account_bucket &bucket, base::time_point from, base::time_point to)
{
    double units = bucket.inheritedRate * overlap(from, to, from, bucket.inheritedUntil);
    for (const auto &[id, node] : bucket.nodes) {
        units += node.rate * overlap(from, to, node.answeredAt + quotaGrantLifetime, node.answeredAt + quotaShareLifetime);
    }
    return units;
}

void quota_allocator::refill(account_bucket &bucket, base::time_point now)
{
    const double accrued = bucket.limit.rate * secondsOf(now - bucket.refilledAt);
    bucket.available += std::max(0.0, accrued - reservedUnits(bucket, bucket.refilledAt, now));
    bucket.available = std::min(bucket.available, capacityOf(bucket, now));
    bucket.refilledAt = now;
    std::erase_if(bucket.nodes, [&](const auto &node) { return now - node.second.answeredAt > quotaShareLifetime; });
}

double quota_allocator::capacityOf(const account_bucket &bucket, base::time_point now)
{
    double outstanding = 0;
    for (const auto &[id, node] : bucket.nodes) {
        outstanding += now - node.answeredAt < quotaGrantLifetime ? node.outstanding : 0;
    }
    return std::max(0.0, fullCapacityOf(bucket.limit) - outstanding);
}

quota_allocator::grant_parts quota_allocator::divide(account_bucket &bucket, const quota_usage &usage, double demandSum, base::time_point now)
{
    const double available = std::max(0.0, bucket.available);
    const bool isScarce = available < demandSum * scarceSeconds;
    const double part = demandSum > 0 ? usage.demandRate / demandSum : 1;
    const double first = std::max(0.0, usage.firstWaiting - usage.balance);
    const double all = std::max(0.0, usage.waiting - usage.balance);
    const double most = isScarce ? std::max(first, available * std::min(1.0, part * scarceFactor)) : available;
    grant_parts granted;
    // Less than what the first request needs would lie unused.
    granted.waiting = first <= available ? std::min({all, most, available}) : 0;
    const bool exceedsBucket = usage.firstWaiting > fullCapacityOf(bucket.limit);
    if (exceedsBucket && available > 0 && available >= capacityOf(bucket, now)) {
        // A request that costs more than the capacity is granted from a full bucket, whose level becomes negative.
        granted.waiting = first;
    }
    if (granted.waiting >= all) {
        const double wanted = std::max(0.0, usage.expected - std::max(0.0, usage.balance - usage.waiting));
        const double left = isScarce ? most - granted.waiting : (available - granted.waiting) * advancePart;
        granted.advance = std::clamp(left, 0.0, wanted);
    }
    bucket.available -= granted.waiting + granted.advance;
    return granted;
}

} // namespace chervilbend::routing
