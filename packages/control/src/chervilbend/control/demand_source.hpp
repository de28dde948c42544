#pragma once

#include <chervilbend/membership/demand_tree.hpp>

namespace chervilbend::control
{

/// Provides the demand that this node has received.
class demand_source
{
public:
    virtual ~demand_source() = default;

    /// Demand per model over the last 10 s, including rejected requests, as the number of endpoints it would fully use: work per second
    /// divided by the throughput of one endpoint.
    virtual membership::demand_by_item demand() const = 0;
};

} // namespace chervilbend::control
