#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace chervilbend::routing
{

/// What keeps an endpoint from taking a request now. Each time is 0 if it does not apply.
struct endpoint_obstacle {
    /// What is left of the pause that the endpoint has asked this node for.
    base::milliseconds pause{0};
    /// The time in which this node gets a grant, where the endpoint has a rate limit and no grant is left.
    base::milliseconds grantInterval{0};
    /// Until the endpoint is tried again, where it is down or has lost a connection.
    base::milliseconds nextTry{0};
};

/// The situation in which a request is refused.
struct refusal_situation {
    /// The endpoints that are to serve such requests. Empty if the pool has none, or if none holds the model.
    std::vector<endpoint_obstacle> endpoints;
    /// The queued work divided by the pool's capacity.
    base::milliseconds queuedWork{0};
    /// The time that the request needs at its endpoint; 0 if it is not known.
    base::milliseconds serviceTime{0};
    base::milliseconds timeLeft{0};
};

/// Estimates after which time a refused request would succeed, for `Retry-After`.
class retry_estimator
{
public:
    static constexpr base::milliseconds leastRetryAfter{100};
    /// Callers wait for at most this part of their remaining time.
    static constexpr int timeLeftDivisor = 3;
    /// Bounds of the factor by which each value differs from the estimate, so that callers that are refused together do not return together.
    static constexpr double leastJitter = 0.75;
    static constexpr double mostJitter = 1.25;
    static constexpr base::milliseconds longestLoad{5'800};
    /// For a pool without an endpoint: the callers with the longest wait return when the longest load has ended.
    static constexpr base::milliseconds loadEstimate{static_cast<std::int64_t>(longestLoad.count() / mostJitter)};

    explicit retry_estimator(std::uint64_t seed);

    /// The time for one caller; no value if the request has no time left for another attempt.
    std::optional<base::milliseconds> retryAfter(const refusal_situation &situation);

    /// The time after which an attempt would succeed, before it is bounded by the time left and jittered.
    static base::milliseconds estimate(const refusal_situation &situation);

private:
    std::mt19937_64 m_random;
};

} // namespace chervilbend::routing
