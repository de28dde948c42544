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

/// A copy of an item at an endpoint, by the endpoint's index.
struct item_copy {
    std::size_t endpoint = 0;
    state::residency state = state::residency::assigned;
    /// Counts towards the item's copies: at a usable endpoint, not dropping, and not stuck in loading.
    bool counts = false;
    /// Part of the item's demand that the copy is expected to take, in endpoints.
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
    std::vector<item_copy> where;
    /// Expected utilisation of the endpoints that serve it.
    double level = 0;
};

/// An engine's endpoint.
struct endpoint_record {
    base::endpoint_id id;
    base::zone_id zone;
    std::int64_t memory = 0;
    /// Neither reserved in the fold nor given away in this pass.
    std::int64_t free = 0;
    /// Becomes free when its owner has confirmed the drops.
    std::int64_t dropping = 0;
    bool usable = false;
    double load = 0;
    /// Declared items in any state.
    std::vector<std::size_t> items;
};

/// An item that is resident although no service declares it.
struct undeclared_item {
    base::endpoint_id endpoint;
    base::item_id item;
};

/// The planner's working copy of the fold, with indexes in place of ids. Changes that the planner decides are applied to it at once.
class cluster_model
{
public:
    /// @p stuck tells which assigned items have waited too long, by endpoint and item.
    cluster_model(const planner_input &input, const std::set<std::pair<base::endpoint_id, base::item_id>> &stuck);

    /// Commands.

    void assign(std::size_t item, std::size_t endpoint);
    void drop(std::size_t item, std::size_t endpoint);
    /// Sets room aside for the rest of the pass.
    void promise(std::size_t endpoint, std::int64_t bytes);
    /// Distributes the demand of all models over their copies.
    void splitDemand();
    /// Distributes the demand of one model anew.
    void splitDemand(item_record &model);

    /// Queries.

    bool isModel(std::size_t item) const
    {
        return items[item].base == item;
    }

    /// No value for an item that no service declares.
    std::optional<std::size_t> indexOf(const base::item_id &item) const;
    const item_copy *copyAt(std::size_t item, std::size_t endpoint) const;
    int countedCopies(std::size_t item) const;
    int loadedCopies(std::size_t item) const;
    /// Bytes of a model and its adapters.
    std::int64_t bundleBytes(std::size_t model) const;
    /// The level of a model if the copy at @p without (an endpoint) did not exist.
    double levelWithout(const item_record &model, std::size_t without) const;
    /// Whether the item and its adapters at the endpoint may be dropped without losing the last loaded copy of any of them.
    bool mayDrop(std::size_t model, std::size_t endpoint) const;
    /// What models may take at the endpoint that are held elsewhere often enough, and what is free there.
    std::int64_t evictableBytes(std::size_t endpoint) const;
    /// Copies of the item per zone that count.
    int copiesInZone(std::size_t item, const base::zone_id &zone) const;
    int zonesOf(std::size_t item) const;

    std::vector<item_record> items;
    std::vector<endpoint_record> endpoints;
    std::vector<undeclared_item> undeclared;
    int modelsInTransit = 0;
    int adaptersInTransit = 0;
    /// Zones with a usable endpoint.
    int usableZones = 0;
    /// Bytes of the largest model with its adapters.
    std::int64_t largestBundle = 0;

private:
    void addDeclared(const planner_input &input);
    void addEndpoints(const planner_input &input, const std::set<std::pair<base::endpoint_id, base::item_id>> &stuck);
    item_copy *findCopy(std::size_t item, std::size_t endpoint);

    std::unordered_map<base::item_id, std::size_t> m_index;
};

} // namespace chervilbend::placement
