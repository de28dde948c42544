#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstdint>
#include <random>

namespace chervilbend::fleet
{

/// Exponential backoff with jitter for failed calls to the store: the upper bound doubles up to a maximum, and each delay is drawn at random
/// from the upper half of that bound, so that nodes that lost the store at the same time do not retry at the same time.
class retry_backoff
{
public:
    /// Seeds must differ between nodes.
    explicit retry_backoff(std::uint64_t seed)
        : m_random(static_cast<std::minstd_rand::result_type>(seed))
    {
    }

    /// The delay before the next attempt.
    base::milliseconds next();
    /// Call after a successful call.
    void reset();

    int failures() const
    {
        return m_failures;
    }

    static constexpr base::milliseconds minimum()
    {
        return base::milliseconds(100);
    }

    static constexpr base::milliseconds maximum()
    {
        return base::milliseconds(800);
    }

private:
    int m_failures = 0;
    std::minstd_rand m_random;
};

} // namespace chervilbend::fleet
