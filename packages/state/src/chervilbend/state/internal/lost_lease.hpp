#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::state
{

/// A lease together with the holder that lost it.
struct lost_lease {
    base::lease_name name;
    base::node_id formerHolder;
    base::incarnation formerIncarnation;
};

} // namespace chervilbend::state
