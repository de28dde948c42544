#pragma once

namespace chervilbend::placement
{

/// How fast the weight store delivers, and how much of it is in use.
struct store_capacity {
    /// Model loads that may start in a second.
    double loadsPerSecond = 0.5;
    /// Model loads at once at full speed.
    int slots = 1;
    /// Adapters in transit at once before each takes proportionally longer.
    int adapterSlots = 8;
    /// Model loads in transit as the store counts them; may include loads of others.
    int inTransit = 0;
};

} // namespace chervilbend::placement
