#pragma once

#include <cstdint>
#include <random>

namespace chervilbend::fakes
{

/// Random draws that repeat with the same seed.
class seeded_random
{
public:
    explicit seeded_random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// True with probability @p share, 0 to 1. Draws nothing for shares of 0 and less.
    bool chance(double share)
    {
        return share > 0 && static_cast<double>(m_engine() >> 11) * 0x1.0p-53 < share;
    }

    /// A whole number from @p low to @p high, both included.
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(high - low + 1));
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace chervilbend::fakes
