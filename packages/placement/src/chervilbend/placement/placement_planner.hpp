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

/// Decides which items should be resident where, and the next moves towards it.
///
/// Its memory (smoothed demand, how long a model has been idle, room that was made) only paces moves: a new planner that starts without
/// it continues from the fold. One pass per second is enough.
class placement_planner
{
public:
    explicit placement_planner(planner_settings settings = {});

    /// The changes to append now, in this order. Changes of earlier passes that the fold does not show yet must not be asked for again:
    /// call only when the fold has reached the record of the last ones.
    std::vector<planned_change> plan(const planner_input &input);

private:
    friend class planning_pass;
    friend class place_finder;

    using place = std::pair<base::endpoint_id, base::item_id>;

    /// Assigned items that have waited for longer than the patience.
    std::set<place> updateStuck(const planner_input &input);

    planner_settings m_settings;
    demand_filter m_demand;
    move_budget m_budget;
    std::map<place, base::time_point> m_assignedSince;
    /// Where an item was not loaded in time; another endpoint is tried first.
    std::map<place, base::time_point> m_avoidUntil;
    std::map<base::item_id, base::time_point> m_idleSince;
    /// Until when room that was made for an item is kept for it, by the item and the endpoint.
    std::map<base::item_id, std::map<base::endpoint_id, base::time_point>> m_keptRooms;
};

} // namespace chervilbend::placement
