#pragma once

#include <chervilbend/placement/internal/cluster_model.hpp>
#include <chervilbend/placement/internal/place_finder.hpp>
#include <chervilbend/placement/placement_planner.hpp>

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chervilbend::placement
{

/// One pass of the planner, step by step in the order of importance. What a step decides, later steps see. The steps that follow demand are in
/// planning_pass_demand.cpp.
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
    /// Adds a copy, or begins to make room for one. False when no place is worth it.
    bool addCopyFor(std::size_t model);
    /// Places at which room is kept for an item that is not assigned there yet.
    int roomsInMaking() const;
    std::optional<candidate_place> bestPlaceFor(std::size_t model, std::int64_t bytes);
    void relocateFor(std::size_t model, std::int64_t bytes);
    /// Of one load, as utilisation over the paybackPeriod time.
    double moveCost() const;
    void keepRoom(std::size_t model, std::size_t endpoint);
    /// The model's utilisation once the copies are there that room is being made for.
    double expectedLevel(std::size_t model) const;
    void fillKeptRooms();
    /// Where a model in demand found no place because an endpoint holds only last copies: copies one of those to another endpoint.
    void freeFullEndpoints();
    bool copyAway(std::size_t from);
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
    /// Endpoints that would serve a model in demand clearly better than where it can go, but have nothing that may be dropped.
    std::set<std::size_t> m_wantedEndpoints;
    /// Loads that the store serves at once.
    int m_storeSlots;
    /// A declared model found no room.
    bool m_lacksRoom = false;
    std::vector<planned_change> m_changes;
};

} // namespace chervilbend::placement
