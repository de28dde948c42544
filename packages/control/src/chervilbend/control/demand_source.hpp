#pragma once

#include <chervilbend/membership/demand_tree.hpp>

namespace chervilbend::control
{

/// Tells what work this node was offered.
class demand_source
{
public:
    virtual ~demand_source() = default;

    /// Offered work of the last 10 s per model, served or not, in endpoints that it would keep fully busy: work per second divided by what
    /// one endpoint does per second.
    virtual membership::demand_by_item demand() const = 0;
};

} // namespace chervilbend::control
