#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/placement/store_capacity.hpp>
#include <chervilbend/state/views.hpp>

#include <map>
#include <set>

namespace chervilbend::placement
{

/// Input of a planning pass. The referenced maps must outlive the pass.
struct planner_input {
    const std::map<base::service_id, state::service_view> &services;
    const std::map<base::endpoint_id, state::endpoint_view> &endpoints;
    /// Endpoints that may be assigned items: those that are in the host list and not draining.
    std::set<base::endpoint_id> usable;
    /// Offered load per item, in fully utilised endpoints. The load of a model includes that of its adapters.
    std::map<base::item_id, double> demand;
    /// The default values apply while the state of the store is unknown.
    store_capacity store;
    /// Fencing token: the log offset of the planner's lease record.
    base::log_offset plannerToken;
};

} // namespace chervilbend::placement
