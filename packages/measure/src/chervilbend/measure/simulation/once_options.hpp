#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::measure
{

/// Size and faults of a simulation of non-idempotent orders. Rates are the mean times between two faults of the whole system.
struct once_options {
    int nodes = 5;
    int orders = 2'400;
    /// Time over which the orders are spread.
    base::milliseconds duration{480'000};
    int mostAttempts = 5;
    base::milliseconds deadline{5'000};
    base::milliseconds killEvery{8'000};
    base::milliseconds pauseEvery{4'000};
    base::milliseconds outageEvery{15'000};
    base::milliseconds slowLogEvery{20'000};
    base::milliseconds cutOffEvery{8'000};
};

} // namespace chervilbend::measure
