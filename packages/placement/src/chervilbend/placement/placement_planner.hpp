#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/placement/demand_filter.hpp>
#include <chervilbend/placement/move_budget.hpp>
#include <chervilbend/placement/planned_change.hpp>
#include <chervilbend/placement/planner_input.hpp>
#include <chervilbend/placement/planner_settings.hpp>

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace chervilbend::placement
{

/// Decides which items should be resident at which endpoints, and which loads and drops to issue next.
///
/// Its own state (smoothed demand, idle times of models, memory reservations) affects only the rate and order of moves, so a new planner
/// can start without it from the replicated state. One pass per second is enough.
class placement_planner
{
public:
    explicit placement_planner(planner_settings settings = {});

    /// Returns the changes to append to the log, in order. Call only when the replicated state includes all changes of earlier passes;
    /// otherwise they are issued again.
    std::vector<planned_change> plan(const planner_input &input);

private:
    friend class planning_pass;
    friend class place_finder;

    using endpoint_item = std::pair<base::endpoint_id, base::item_id>;

    /// Returns the assigned items that were not loaded within planner_settings::loadTimeout.
    std::set<endpoint_item> updateStuckLoads(const planner_input &input);

    planner_settings m_settings;
    demand_filter m_demand;
    move_budget m_budget;
    std::map<endpoint_item, base::time_point> m_assignedSince;
    /// Endpoints that did not load an item in time, with the time until which other endpoints are preferred for it.
    std::map<endpoint_item, base::time_point> m_avoidUntil;
    std::map<base::item_id, base::time_point> m_idleSince;
    /// Expiry times of memory that is reserved at an endpoint for an item, by item and endpoint.
    std::map<base::item_id, std::map<base::endpoint_id, base::time_point>> m_reservations;
};

} // namespace chervilbend::placement
