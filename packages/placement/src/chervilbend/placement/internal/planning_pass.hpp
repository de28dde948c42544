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

/// One pass of the planner. Its steps run in order of priority, and each sees the changes of the earlier ones. The steps that react to
/// demand are in planning_pass_demand.cpp.
class planning_pass
{
public:
    planning_pass(placement_planner &planner, const planner_input &input, const std::set<placement_planner::endpoint_item> &stuck);

    std::vector<planned_change> run();

private:
    void restoreMissing();
    void dropUndeclared();
    void restoreCopies();
    void placeAdapters();
    void followDemand();
    /// Adds a copy, or starts to free memory for one. Returns false if no place is worth the cost.
    bool addCopyFor(std::size_t model);
    /// Number of memory reservations for items that are not yet assigned.
    int pendingReservations() const;
    std::optional<candidate_place> bestPlaceFor(std::size_t model, std::int64_t bytes);
    void relocateFor(std::size_t model, std::int64_t bytes);
    /// Cost of one load, as utilisation over the payback period.
    double moveCost() const;
    void addReservation(std::size_t model, std::size_t endpoint);
    /// Utilisation of the model's endpoints once the copies that memory is reserved for are loaded.
    double expectedUtilisation(std::size_t model) const;
    void fillReservations();
    /// Copies a model from an endpoint where nothing can be dropped to another one, so that a model in demand can be placed there later.
    void freeFullEndpoints();
    bool copyToOtherEndpoint(std::size_t from);
    void dropIdle();
    void dropStuck();
    void dropOrphanedAdapters();

    /// Models in descending order of importance.
    std::vector<std::size_t> modelsByImportance() const;
    void relocate(std::size_t model, const candidate_place &place);
    void makeRoomByRelocation(std::size_t model, std::int64_t bytes);
    bool isIdle(std::size_t model) const;
    /// Makes the changes of a candidate that are possible now. Returns true if the model was assigned.
    bool execute(std::size_t model, const candidate_place &place, std::int64_t bytes, const std::string &reason);
    void assignAdapters(std::size_t model, std::size_t endpoint);
    void assign(std::size_t item, std::size_t endpoint, std::string reason);
    /// Drops an item. The adapters of a model at the endpoint are dropped first.
    void drop(std::size_t item, std::size_t endpoint, const std::string &reason);
    bool makeRoomForAdapter(std::size_t adapter);

    placement_planner &m_planner;
    const planner_settings &m_settings;
    move_budget &m_budget;
    cluster_model m_cluster;
    place_finder m_finder;
    std::set<placement_planner::endpoint_item> m_stuck;
    base::log_offset m_fencingToken;
    /// Endpoints that would suit a model in demand much better than the best possible one, but where nothing can be dropped.
    std::set<std::size_t> m_blockedEndpoints;
    /// Concurrent loads of the weight store.
    int m_storeSlots;
    /// A declared model could not be placed for lack of memory.
    bool m_lacksMemory = false;
    std::vector<planned_change> m_changes;
};

} // namespace chervilbend::placement
