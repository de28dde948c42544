#pragma once

#include <chervilbend/base/clock.hpp>

#include <algorithm>

namespace chervilbend::fakes
{

/// A token bucket that begins full and holds the calls of one second, but at least one.
class call_rate
{
public:
    explicit call_rate(double callsPerSecond)
        : m_callsPerSecond(callsPerSecond)
        , m_tokens(capacity())
        , m_refilled(base::clock::now())
    {
    }

    /// Whether one more call is within the rate now.
    bool take()
    {
        const base::time_point now = base::clock::now();
        const std::chrono::duration<double> passed = now - m_refilled;
        m_refilled = now;
        m_tokens = std::min(capacity(), m_tokens + passed.count() * m_callsPerSecond);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    double capacity() const
    {
        return std::max(1.0, m_callsPerSecond);
    }

    double m_callsPerSecond;
    double m_tokens;
    base::time_point m_refilled;
};

} // namespace chervilbend::fakes
