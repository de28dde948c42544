#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::control
{

/// Timing parameters of leases. The design page derives their values.
struct lease_times {
    base::milliseconds heartbeatInterval{2'000};
    /// Time from sending a heartbeat to the end of the holder's term.
    base::milliseconds term{6'000};
    /// Added to the term by other nodes, to allow for clock rates that differ by up to 10 %.
    base::milliseconds margin{1'000};
    /// Minimum time between two lease hand-overs of a node.
    base::milliseconds handOverInterval{2'000};
    /// An entry that is not read back within this time is considered lost.
    base::milliseconds readBackTimeout{3'000};
    /// Delay per rank in the order of weights before a candidate takes a vacant lease that the higher-ranked ones have not taken. The intended
    /// holder may be unable to reach the log although it answers probes.
    base::milliseconds fallbackDelay{5'000};
};

} // namespace chervilbend::control
