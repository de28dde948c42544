#include <chervilbend/routing/hedge_policy.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::routing
{

namespace
{

/// Answers from which the percentile is trusted.
constexpr long trustedCount = 50;

} // namespace

void hedge_policy::noteAnswered(const std::string &pool, base::milliseconds latency)
{
    m_latency.try_emplace(pool, 0.95).first->second.add(static_cast<double>(std::max<std::int64_t>(1, latency.count())));
}

std::optional<base::milliseconds> hedge_policy::delayFor(const request_facts &facts) const
{
    const auto known = m_latency.find(facts.pool);
    // Generated answers are not hedged: a second copy costs an engine as much as the first.
    if (!facts.repeatable || facts.maxTokens.count() > 0 || known == m_latency.end() || known->second.count() < trustedCount) {
        return std::nullopt;
    }
    return base::milliseconds(static_cast<std::int64_t>(std::ceil(known->second.value())));
}

} // namespace chervilbend::routing
