#pragma once

#include <cstdint>

namespace chervilbend::base
{

/// A metric whose value only increases.
class counter
{
public:
    void add(std::int64_t count = 1)
    {
        m_value += count;
    }

    std::int64_t value() const
    {
        return m_value;
    }

private:
    std::int64_t m_value = 0;
};

} // namespace chervilbend::base
