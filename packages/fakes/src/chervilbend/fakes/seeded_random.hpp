#pragma once

#include <cstdint>
#include <random>

namespace chervilbend::fakes
{

/// Random numbers that are reproducible from a seed.
class seeded_random
{
public:
    explicit seeded_random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// True with probability @p share, from 0 to 1. Does not advance the generator when @p share is 0 or less.
    bool chance(double share)
    {
        return share > 0 && static_cast<double>(m_engine() >> 11) * 0x1.0p-53 < share;
    }

    /// An integer from @p low to @p high, both inclusive.
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(high - low + 1));
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace chervilbend::fakes
