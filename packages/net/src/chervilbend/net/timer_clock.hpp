#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::net
{

/// Tells Asio which timers are due. Expiries are times of base::clock.
class timer_clock
{
public:
    using duration = base::clock::duration;
    using rep = base::clock::rep;
    using period = base::clock::period;
    using time_point = base::time_point;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        return base::clock::timerNow();
    }
};

} // namespace chervilbend::net
