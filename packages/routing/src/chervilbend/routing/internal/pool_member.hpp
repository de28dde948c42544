#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/internal/latency_tracker.hpp>

#include <memory>

namespace chervilbend::routing
{

struct endpoint_state;

/// An endpoint in one of its pools. Speed is learned per pool: an engine's models differ.
struct pool_member {
    std::shared_ptr<endpoint_state> endpoint;
    latency_tracker latency;
    /// Weight in draws, 0.1 to 1.5; 1 is the peers' median speed.
    double weight = 1;
    /// Latency per cost over the peers' median at the last judgement.
    double slowness = 1;
    bool ejected = false;
    base::time_point nextProbe;
    /// The pool's count of requests at which the next probe may be sent.
    long probeAfterRequest = 0;
};

} // namespace chervilbend::routing
