#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::measure
{

/// Size and faults of a simulation of non-idempotent orders. The ...Every fields are mean times between two faults in the whole system.
struct at_most_once_options {
    int nodes = 5;
    int orders = 2'400;
    /// Time over which the first attempts of the orders are distributed.
    base::milliseconds duration{480'000};
    int maxAttempts = 5;
    base::milliseconds deadline{5'000};
    base::milliseconds killEvery{8'000};
    base::milliseconds pauseEvery{4'000};
    base::milliseconds outageEvery{15'000};
    base::milliseconds slowLogEvery{20'000};
    base::milliseconds logDisconnectEvery{8'000};
};

} // namespace chervilbend::measure
