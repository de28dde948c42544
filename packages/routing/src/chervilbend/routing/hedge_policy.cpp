#include <chervilbend/routing/hedge_policy.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::routing
{

namespace
{

/// Number of samples from which the percentile estimate is used.
constexpr long minimumSamples = 50;

} // namespace

void hedge_policy::recordLatency(const std::string &pool, base::milliseconds latency)
{
    m_latency.try_emplace(pool, 0.95).first->second.add(static_cast<double>(std::max<std::int64_t>(1, latency.count())));
}

std::optional<base::milliseconds> hedge_policy::delayFor(const request_facts &facts) const
{
    const auto estimate = m_latency.find(facts.pool);
    // Generated answers are not hedged: a second copy costs an engine as much as the first.
    if (!facts.repeatable || facts.maxTokens.count() > 0 || estimate == m_latency.end() || estimate->second.count() < minimumSamples) {
        return std::nullopt;
    }
    return base::milliseconds(static_cast<std::int64_t>(std::ceil(estimate->second.value())));
}

} // namespace chervilbend::routing
