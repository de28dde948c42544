#include <chervilbend/fleet/retry_backoff.hpp>

#include <algorithm>

namespace chervilbend::fleet
{

base::milliseconds retry_backoff::next()
{
    constexpr int maxDoublings = 3;
    const base::milliseconds bound = std::min(maximum(), minimum() * (1 << std::min(m_failures, maxDoublings)));
    ++m_failures;
    std::uniform_int_distribution<base::milliseconds::rep> draw(bound.count() / 2, bound.count());
    return base::milliseconds(draw(m_random));
}

void retry_backoff::reset()
{
    m_failures = 0;
}

} // namespace chervilbend::fleet
