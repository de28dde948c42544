#pragma once

#include <chervilbend/placement/internal/candidate_place.hpp>
#include <chervilbend/placement/internal/cluster_model.hpp>
#include <chervilbend/placement/placement_planner.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace chervilbend::placement
{

/// Searches places for copies. Sees the changes that a pass has made to the cluster model so far.
class place_finder
{
public:
    /// Both references must outlive the finder.
    place_finder(const placement_planner &planner, const cluster_model &cluster);

    /// The copy at this endpoint; no value when it is not possible within @p bound.
    std::optional<candidate_place> placeAt(std::size_t model, std::size_t endpoint, std::int64_t bytes, eviction bound) const;

    /// The best place for a copy that must be restored.
    std::optional<candidate_place> placeToRestore(std::size_t model, std::int64_t bytes, eviction bound) const;

    /// A place where copying hardly used models elsewhere makes the room, among the endpoints with the least load.
    std::optional<candidate_place> placeByRelocation(std::size_t model, std::int64_t bytes) const;

    /// Adds the copies at the place's endpoint that cost least to drop until @p bytes fit. False when they never do.
    bool findVictims(candidate_place &place, std::int64_t bytes, eviction bound, std::size_t forModel) const;

    /// Whether the model stays in enough zones without its copy at the endpoint.
    bool keepsZones(std::size_t model, std::size_t endpoint) const;

    /// Whether room that was made at the endpoint is kept for another model.
    bool isKeptForOther(std::size_t model, std::size_t endpoint) const;
    bool isKeptFor(std::size_t model, std::size_t endpoint) const;
    /// Endpoints at which room is kept for the model.
    int keptRooms(std::size_t model) const;

private:
    bool addRelocations(candidate_place &place, std::int64_t bytes, std::size_t forModel) const;
    std::optional<std::size_t> relocationTarget(std::size_t model, std::size_t from, const std::map<std::size_t, std::int64_t> &taken) const;

    const placement_planner &m_planner;
    const planner_settings &m_settings;
    const cluster_model &m_cluster;
};

} // namespace chervilbend::placement
