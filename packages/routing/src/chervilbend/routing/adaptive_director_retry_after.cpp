#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>
#include <cstdint>

namespace chervilbend::routing
{

namespace
{

/// Longer times come from estimates that are out of range.
constexpr double longestEstimateMs = 60'000;
constexpr double millisecondsPerSecond = 1'000;

base::milliseconds boundedDuration(double ms)
{
    return base::milliseconds(static_cast<std::int64_t>(std::min(longestEstimateMs, ms)));
}

base::milliseconds timeUntil(base::time_point then, base::time_point now)
{
    return std::max(then - now, base::milliseconds(0));
}

} // namespace

std::optional<base::milliseconds> adaptive_director::retryAfter(const request_facts &facts)
{
    const base::time_point now = base::clock::now();
    refusal_situation situation;
    situation.timeLeft = timeUntil(facts.deadline, now);
    const auto found = m_pools.find(facts.pool);
    if (found != m_pools.end()) {
        pool_state &pool = *found->second;
        for (const pool_member &member : pool.members) {
            const bool isSameVersion = facts.softwareVersion.empty() || member.endpoint->facts.softwareVersion == facts.softwareVersion;
            if (!member.endpoint->isLeaving() && !member.ejected && isSameVersion) {
                situation.endpoints.push_back(obstacleAt(*member.endpoint, now));
            }
        }
        situation.queuedWork = boundedDuration(pool.drainMs(m_nodes));
        request_state again;
        again.facts = facts;
        again.pool = &pool;
        predict(again);
        situation.serviceTime = facts.deadline - latestStartFor(again);
    }
    return m_retryEstimator.retryAfter(situation);
}

endpoint_obstacle adaptive_director::obstacleAt(const endpoint_state &endpoint, base::time_point now) const
{
    endpoint_obstacle obstacle;
    obstacle.pause = timeUntil(endpoint.pausedUntil, now);
    const std::optional<double> rate = m_rateLimits->requestRate(endpoint.process());
    if (rate && !m_rateLimits->maySend(endpoint.process())) {
        // The allocator divides the rate among the nodes.
        obstacle.grantInterval = boundedDuration(m_nodes / *rate * millisecondsPerSecond);
    }
    if (endpoint.isDown || m_suspects.hasUnconfirmedLoss(endpoint.serial)) {
        obstacle.nextTry = timeUntil(endpoint.nextTry, now);
    }
    return obstacle;
}

} // namespace chervilbend::routing
