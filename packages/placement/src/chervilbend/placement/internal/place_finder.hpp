#pragma once

#include <chervilbend/placement/internal/candidate_place.hpp>
#include <chervilbend/placement/internal/cluster_model.hpp>
#include <chervilbend/placement/placement_planner.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace chervilbend::placement
{

/// Searches for endpoints that can hold a copy. Takes into account the changes that the current pass has made to the cluster model.
class place_finder
{
public:
    /// Both arguments must outlive the finder.
    place_finder(const placement_planner &planner, const cluster_model &cluster);

    /// The changes needed for a copy at the given endpoint; empty if it is not possible within @p limit.
    std::optional<candidate_place> placeAt(std::size_t model, std::size_t endpoint, std::int64_t bytes, eviction_limit limit) const;

    /// The best place for a copy that is missing.
    std::optional<candidate_place> placeToRestore(std::size_t model, std::int64_t bytes, eviction_limit limit) const;

    /// A place among the least loaded endpoints where memory can be freed by copying little used models to other endpoints.
    std::optional<candidate_place> placeByRelocation(std::size_t model, std::int64_t bytes) const;

    /// Adds the copies at the place's endpoint that are cheapest to drop until @p bytes fit. Returns false if they cannot fit.
    bool findVictims(candidate_place &place, std::int64_t bytes, eviction_limit limit, std::size_t forModel) const;

    /// Whether the model remains in enough zones without its copy at the endpoint.
    bool keepsZoneSpread(std::size_t model, std::size_t endpoint) const;

    /// Whether memory at the endpoint is reserved for another model.
    bool isReservedForOther(std::size_t model, std::size_t endpoint) const;
    bool isReservedFor(std::size_t model, std::size_t endpoint) const;
    /// Number of endpoints at which memory is reserved for the model.
    int reservationCount(std::size_t model) const;

private:
    bool addRelocations(candidate_place &place, std::int64_t bytes, std::size_t forModel) const;
    std::optional<std::size_t> relocationTarget(std::size_t model, std::size_t from, const std::map<std::size_t, std::int64_t> &plannedBytes) const;

    const placement_planner &m_planner;
    const planner_settings &m_settings;
    const cluster_model &m_cluster;
};

} // namespace chervilbend::placement
