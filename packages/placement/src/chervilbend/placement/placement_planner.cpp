#include <chervilbend/placement/placement_planner.hpp>

#include <chervilbend/placement/internal/planning_pass.hpp>

namespace chervilbend::placement
{

placement_planner::placement_planner(planner_settings settings)
    : m_settings(settings)
    , m_demand(settings.riseTime, settings.fallTime)
    , m_budget(settings.movesPerMinute)
{
}

std::vector<planned_change> placement_planner::plan(const planner_input &input)
{
    m_demand.update(input.demand);
    const base::time_point now = base::clock::now();
    std::erase_if(m_avoidUntil, [now](const auto &entry) { return entry.second <= now; });
    for (auto &[item, expiries] : m_reservations) {
        std::erase_if(expiries, [now](const auto &expiry) { return expiry.second <= now; });
    }
    std::erase_if(m_reservations, [](const auto &entry) { return entry.second.empty(); });
    planner_input smoothed = input;
    for (auto &[item, demand] : smoothed.demand) {
        demand = m_demand.of(item);
    }
    const std::set<endpoint_item> stuck = updateStuckLoads(input);
    planning_pass pass(*this, smoothed, stuck);
    return pass.run();
}

std::set<placement_planner::endpoint_item> placement_planner::updateStuckLoads(const planner_input &input)
{
    const base::time_point now = base::clock::now();
    std::map<endpoint_item, base::time_point> assigned;
    std::set<endpoint_item> stuck;
    for (const auto &[endpoint, view] : input.endpoints) {
        for (const auto &[item, resident] : view.items) {
            if (resident.state != state::residency::assigned) {
                continue;
            }
            const endpoint_item key(endpoint, item);
            const auto known = m_assignedSince.find(key);
            const base::time_point since = known == m_assignedSince.end() ? now : known->second;
            assigned.emplace(key, since);
            if (now - since >= m_settings.loadTimeout) {
                stuck.insert(key);
                m_avoidUntil[key] = now + 5 * m_settings.loadTimeout;
            }
        }
    }
    m_assignedSince = std::move(assigned);
    return stuck;
}

} // namespace chervilbend::placement
