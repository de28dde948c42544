#pragma once

namespace chervilbend::placement
{

/// Load rate and concurrency of the weight store, and its current use.
struct store_capacity {
    /// Maximum of model loads started per second.
    double loadsPerSecond = 0.5;
    /// Concurrent model loads that run at full speed.
    int slots = 1;
    /// Concurrent adapter loads that run at full speed; with more, each takes proportionally longer.
    int adapterSlots = 8;
    /// Model loads in progress as reported by the store; may include loads of other clients.
    int inTransit = 0;
};

} // namespace chervilbend::placement
