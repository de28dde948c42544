#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/internal/latency_tracker.hpp>

#include <memory>

namespace chervilbend::routing
{

struct endpoint_state;

/// An endpoint as a member of one of its pools. Latency is tracked per pool, since the models of an engine differ in speed.
struct pool_member {
    std::shared_ptr<endpoint_state> endpoint;
    latency_tracker latency;
    /// Weight in random draws, 0.1 to 1.5; 1 corresponds to the median speed of its peers.
    double weight = 1;
    /// Ratio of its latency per unit of cost to the median of its peers, as of the last evaluation.
    double latencyRatio = 1;
    bool ejected = false;
    base::time_point nextProbe;
    /// The next probe may be sent when the pool's number of requests reaches this value.
    long probeAfterRequest = 0;
    /// Other nodes have reported that the endpoint refuses connections, and the pool has another one.
    bool isAvoided = false;

    /// Whether the endpoint gets only single requests, which show whether it accepts connections again.
    bool isDown() const;

    /// Whether the endpoint is in use: neither leaving, nor down, nor ejected.
    bool isUsable() const;
};

} // namespace chervilbend::routing
