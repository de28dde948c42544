#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::fleet
{

/// When something was read, by both clocks of this node. The age by the boot clock includes the time for which the node was suspended.
struct read_time {
    base::time_point steady;
    base::time_point boot;

    static read_time now()
    {
        return {base::clock::now(), base::clock::bootNow()};
    }

    friend read_time operator-(const read_time &time, base::milliseconds age)
    {
        return {time.steady - age, time.boot - age};
    }
};

} // namespace chervilbend::fleet
