#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/placement/planner_input.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilbend::placement
{

/// A copy of an item at an endpoint, which is given by its index.
struct item_copy {
    std::size_t endpoint = 0;
    state::residency state = state::residency::assigned;
    /// Counts as one of the item's copies: at a usable endpoint, not dropping, and not stuck in loading.
    bool isCounted = false;
    /// Expected share of the item's demand, in fully utilised endpoints.
    double share = 0;
};

/// A declared item.
struct item_record {
    base::item_id id;
    std::int64_t bytes = 0;
    int copies = 1;
    int importance = 50;
    double demand = 0;
    /// Index of the base model; the item's own index for a model.
    std::size_t base = 0;
    std::vector<std::size_t> adapters;
    std::vector<item_copy> placements;
    /// Expected utilisation of the endpoints that serve the model.
    double utilisation = 0;
};

/// An endpoint of an engine.
struct endpoint_record {
    base::endpoint_id id;
    base::zone_id zone;
    std::int64_t memory = 0;
    /// Bytes reserved neither in the replicated state nor in this pass.
    std::int64_t free = 0;
    /// Bytes that become free once the owner of the endpoint has confirmed the drops in progress.
    std::int64_t dropping = 0;
    bool usable = false;
    double load = 0;
    /// Indexes of the declared items at the endpoint, in any state.
    std::vector<std::size_t> items;
};

/// An item that is resident although no service declares it.
struct undeclared_item {
    base::endpoint_id endpoint;
    base::item_id item;
};

/// The planner's working copy of the replicated state, with indexes in place of ids. Planned changes are applied to it at once.
class cluster_model
{
public:
    /// @p stuck contains the assigned items that were not loaded in time.
    cluster_model(const planner_input &input, const std::set<std::pair<base::endpoint_id, base::item_id>> &stuck);

    /// Commands.

    void assign(std::size_t item, std::size_t endpoint);
    void drop(std::size_t item, std::size_t endpoint);
    /// Reserves memory for the rest of the pass, first from what is free and then from what drops in progress will free.
    void reserve(std::size_t endpoint, std::int64_t bytes);
    /// Distributes the demand of all models over their copies such that the copies of a model are utilised evenly.
    void distributeDemand();
    /// Distributes the demand of one model again.
    void distributeDemand(item_record &model);

    /// Queries.

    bool isModel(std::size_t item) const
    {
        return items[item].base == item;
    }

    /// Empty if no service declares the item.
    std::optional<std::size_t> indexOf(const base::item_id &item) const;
    const item_copy *copyAt(std::size_t item, std::size_t endpoint) const;
    int countedCopies(std::size_t item) const;
    int loadedCopies(std::size_t item) const;
    /// Bytes of the model and its adapters.
    std::int64_t bundleBytes(std::size_t model) const;
    /// Utilisation of the endpoints that serve the model if its copy at the endpoint @p without did not exist.
    double utilisationWithout(const item_record &model, std::size_t without) const;
    /// Whether the model and its adapters can be dropped at the endpoint without losing the last loaded copy of any of them.
    bool mayDrop(std::size_t model, std::size_t endpoint) const;
    /// Bytes that are free, are being freed, or are used by models with more copies than declared.
    std::int64_t evictableBytes(std::size_t endpoint) const;
    /// Counted copies of the item in the zone.
    int copiesInZone(std::size_t item, const base::zone_id &zone) const;
    int zoneCount(std::size_t item) const;

    std::vector<item_record> items;
    std::vector<endpoint_record> endpoints;
    std::vector<undeclared_item> undeclared;
    int modelsInTransit = 0;
    int adaptersInTransit = 0;
    /// Number of zones with a usable endpoint.
    int usableZones = 0;
    /// Bytes of the largest model including its adapters.
    std::int64_t largestBundle = 0;

private:
    void addDeclared(const planner_input &input);
    void addEndpoints(const planner_input &input, const std::set<std::pair<base::endpoint_id, base::item_id>> &stuck);
    item_copy *findCopy(std::size_t item, std::size_t endpoint);

    std::unordered_map<base::item_id, std::size_t> m_index;
};

} // namespace chervilbend::placement
