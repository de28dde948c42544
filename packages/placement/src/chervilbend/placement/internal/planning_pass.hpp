#pragma once

#include <chervilbend/placement/internal/cluster_model.hpp>
#include <chervilbend/placement/internal/place_finder.hpp>
#include <chervilbend/placement/placement_planner.hpp>

#include <string>
#include <utility>
#include <vector>

namespace chervilbend::placement
{

/// One pass of the planner, step by step in the order of importance. What a step decides, later steps see.
class planning_pass
{
public:
    planning_pass(placement_planner &planner, const planner_input &input, const std::set<placement_planner::place> &stuck);

    std::vector<planned_change> run();

private:
    void restoreMissing();
    void dropUndeclared();
    void restoreCopies();
    void placeAdapters();
    void followDemand();
    bool addCopyFor(std::size_t model);
    void dropIdle();
    void dropStuck();
    void dropOrphans();

    /// Models by falling importance.
    std::vector<std::size_t> modelsByImportance() const;
    void relocate(std::size_t model, const candidate_place &place);
    void makeRoomByRelocation(std::size_t model, std::int64_t bytes);
    bool isIdle(std::size_t model) const;
    /// Carries a candidate out as far as possible now. True when the model was assigned.
    bool carryOut(std::size_t model, const candidate_place &place, std::int64_t bytes, const std::string &why);
    void assignAdapters(std::size_t model, std::size_t endpoint);
    void assign(std::size_t item, std::size_t endpoint, std::string why);
    /// Drops an item; of a model, its adapters there first.
    void drop(std::size_t item, std::size_t endpoint, const std::string &why);
    bool makeRoomForAdapter(std::size_t adapter);

    placement_planner &m_planner;
    const planner_settings &m_settings;
    move_budget &m_budget;
    cluster_model m_cluster;
    place_finder m_finder;
    std::set<placement_planner::place> m_stuck;
    base::log_offset m_token;
    /// A declared model found no room.
    bool m_lacksRoom = false;
    std::vector<planned_change> m_changes;
};

} // namespace chervilbend::placement
