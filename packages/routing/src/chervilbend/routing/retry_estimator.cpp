#include <chervilbend/routing/retry_estimator.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// For refusals without a known obstacle, such as those of a busy endpoint.
constexpr base::milliseconds leastEstimate{200};

base::milliseconds scaled(base::milliseconds duration, double factor)
{
    return base::milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

base::milliseconds timeUntilReady(const endpoint_obstacle &obstacle)
{
    // The node refuses requests until a pause or the wait for a grant ends, so not even the earliest caller should return before that, where its time left
    // allows it. A request that comes before the next try of an endpoint waits for it in the queue.
    const base::milliseconds refusing = std::max(obstacle.pause, obstacle.grantInterval);
    return std::max(scaled(refusing, 1 / retry_estimator::leastJitter), obstacle.nextTry);
}

} // namespace

retry_estimator::retry_estimator(std::uint64_t seed)
    : m_random(seed)
{
}

base::milliseconds retry_estimator::estimate(const refusal_situation &situation)
{
    if (situation.endpoints.empty()) {
        return loadEstimate;
    }
    base::milliseconds firstReady = base::milliseconds::max();
    for (const endpoint_obstacle &obstacle : situation.endpoints) {
        firstReady = std::min(firstReady, timeUntilReady(obstacle));
    }
    return std::max(firstReady + situation.queuedWork, leastEstimate);
}

std::optional<base::milliseconds> retry_estimator::retryAfter(const refusal_situation &situation)
{
    const base::milliseconds most = situation.timeLeft / timeLeftDivisor;
    if (most < leastRetryAfter) {
        return std::nullopt;
    }
    // Bounding the estimate and not only the result keeps the values of callers with a near deadline from gathering at the bound.
    const base::milliseconds bounded = std::min(estimate(situation), scaled(most, 1 / mostJitter));
    const double jitter = std::uniform_real_distribution<double>(leastJitter, mostJitter)(m_random);
    const base::milliseconds result = std::clamp(scaled(bounded, jitter), leastRetryAfter, most);
    return result + situation.serviceTime <= situation.timeLeft ? std::optional(result) : std::nullopt;
}

} // namespace chervilbend::routing
