#pragma once

#include <chervilbend/base/clock.hpp>

#include <random>

namespace chervilbend::fleet
{

/// Pauses between failed calls to the store: they double up to a bound, and are drawn at random below it, so that nodes that lost the store
/// together do not come back together.
class retry_pause
{
public:
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
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace chervilbend::fleet
