#pragma once

#include <cstddef>

namespace chervilbend::base
{

/// Bounds the memory that many objects use together. Each takes its part by a byte_reservation.
class byte_budget
{
public:
    explicit byte_budget(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// Takes @p bytes. False, and nothing is taken, if less is left.
    bool tryTake(std::size_t bytes)
    {
        if (bytes > m_limit - m_taken) {
            return false;
        }
        m_taken += bytes;
        return true;
    }

    /// @p bytes must have been taken before.
    void giveBack(std::size_t bytes)
    {
        m_taken -= bytes;
    }

    /// Bytes that are taken now.
    std::size_t taken() const
    {
        return m_taken;
    }

private:
    const std::size_t m_limit;
    std::size_t m_taken = 0;
};

} // namespace chervilbend::base
