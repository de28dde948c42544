#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/placement/store_capacity.hpp>
#include <chervilbend/state/views.hpp>

#include <map>
#include <set>

namespace chervilbend::placement
{

/// What one planning pass looks at. The maps belong to the caller and must outlive the pass.
struct planner_input {
    const std::map<base::service_id, state::service_view> &services;
    const std::map<base::endpoint_id, state::endpoint_view> &endpoints;
    /// Endpoints that may take new items: shown by the host list and not leaving.
    std::set<base::endpoint_id> usable;
    /// Offered work per item in endpoints that it would keep fully busy; a model's includes that of its adapters.
    std::map<base::item_id, double> demand;
    /// The defaults are for a store whose state is not known.
    store_capacity store;
    /// Offset of the planner's lease record.
    base::log_offset plannerToken;
};

} // namespace chervilbend::placement
