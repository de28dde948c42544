#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstdint>
#include <random>

namespace chervilbend::fleet
{

/// Pauses between failed calls to the store: they double up to a bound, and are drawn at random below it, so that nodes that lost the store
/// together do not come back together.
class retry_backoff
{
public:
    /// Nodes must have different seeds.
    explicit retry_backoff(std::uint64_t seed)
        : m_random(static_cast<std::minstd_rand::result_type>(seed))
    {
    }

    /// Before the next try.
    base::milliseconds next();
    /// After a call that succeeded.
    void reset();

    int failures() const
    {
        return m_failures;
    }

    static constexpr base::milliseconds shortest()
    {
        return base::milliseconds(100);
    }

    static constexpr base::milliseconds longest()
    {
        return base::milliseconds(800);
    }

private:
    int m_failures = 0;
    std::minstd_rand m_random;
};

} // namespace chervilbend::fleet
