#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace chervilbend::base
{

/// An integer count of one unit that does not convert to other units. Tag distinguishes the units.
template<typename Tag>
class strong_unit
{
public:
    constexpr strong_unit() = default;

    explicit constexpr strong_unit(std::int64_t count)
        : m_count(count)
    {
    }

    constexpr std::int64_t count() const
    {
        return m_count;
    }

    friend constexpr auto operator<=>(strong_unit, strong_unit) = default;

    friend constexpr strong_unit operator+(strong_unit left, strong_unit right)
    {
        return strong_unit(left.m_count + right.m_count);
    }

    friend constexpr strong_unit operator-(strong_unit left, strong_unit right)
    {
        return strong_unit(left.m_count - right.m_count);
    }

    constexpr strong_unit &operator+=(strong_unit other)
    {
        m_count += other.m_count;
        return *this;
    }

    constexpr strong_unit &operator-=(strong_unit other)
    {
        m_count -= other.m_count;
        return *this;
    }

    friend std::ostream &operator<<(std::ostream &stream, strong_unit unit)
    {
        return stream << unit.m_count;
    }

private:
    std::int64_t m_count = 0;
};

} // namespace chervilbend::base
