#pragma once

#include <cstdint>

namespace chervilbend::base
{

/// The source from which clock reads the time. Tests replace it to control the time.
class time_source
{
public:
    virtual ~time_source() = default;

    /// Monotonic time in milliseconds from an arbitrary start.
    virtual std::int64_t steadyMilliseconds() const = 0;

    /// Like steadyMilliseconds(), but includes the time in which the host is suspended.
    virtual std::int64_t bootMilliseconds() const
    {
        return steadyMilliseconds();
    }

    /// The time by which net::timer decides which timers are due: steadyMilliseconds(), except in simulations that hold their timers back.
    virtual std::int64_t timerMilliseconds() const
    {
        return steadyMilliseconds();
    }

    /// Wall-clock time in milliseconds since 1970-01-01 UTC. May jump when the clock is set.
    virtual std::int64_t wallMilliseconds() const = 0;
};

} // namespace chervilbend::base
