#pragma once

#include <cstdint>

namespace chervilbend::base
{

/// Where clock gets its time from. Tests replace it to drive time by hand.
class time_source
{
public:
    virtual ~time_source() = default;

    /// Monotonic time in milliseconds from an arbitrary start.
    virtual std::int64_t steadyMilliseconds() const = 0;

    /// Like steadyMilliseconds(), but goes on while the host is suspended.
    virtual std::int64_t bootMilliseconds() const
    {
        return steadyMilliseconds();
    }

    /// Wall-clock time in milliseconds since 1970-01-01 UTC. May jump.
    virtual std::int64_t wallMilliseconds() const = 0;
};

} // namespace chervilbend::base
