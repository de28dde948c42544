#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::state
{

/// A holder that has lost a lease.
struct lost_lease {
    base::lease_name name;
    base::node_id formerHolder;
    base::incarnation formerLife;
};

} // namespace chervilbend::state
