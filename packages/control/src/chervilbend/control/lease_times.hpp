#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::control
{

/// Times of leases; the design page derives them.
struct lease_times {
    base::milliseconds heartbeatInterval{2'000};
    /// From sending a heartbeat to the end of the holder's term.
    base::milliseconds term{6'000};
    /// What other nodes add, for clocks whose rates differ by up to a tenth.
    base::milliseconds margin{1'000};
    /// Between two handed-over leases of a node.
    base::milliseconds handOverInterval{2'000};
    /// An entry that is not read back after this time is taken for lost.
    base::milliseconds appendPatience{3'000};
    /// A free lease that the intended holder does not take falls to the next in the order of weights after this time each. The intended
    /// holder may be cut off from the log although it answers probes.
    base::milliseconds fallbackDelay{5'000};
};

} // namespace chervilbend::control
