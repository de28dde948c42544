#include <chervilbend/membership/endpoint_subset.hpp>

#include <chervilbend/membership/rendezvous.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

namespace chervilbend::membership
{

namespace
{

/// Returns the index of the node that must use each endpoint, in the order of @p pool. No node gets more than an even share, rounded up.
std::vector<std::size_t> guaranteedUsers(const std::vector<zoned<base::node_id>> &nodes, const std::vector<zoned<base::endpoint_id>> &pool)
{
    const std::size_t bound = (pool.size() + nodes.size() - 1) / nodes.size();
    std::vector<std::size_t> load(nodes.size(), 0);
    std::vector<std::size_t> users;
    for (const zoned<base::endpoint_id> &endpoint : pool) {
        std::size_t best = nodes.size();
        std::tuple<bool, std::uint64_t> bestWeight;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const std::tuple weight(nodes[i].zone == endpoint.zone, rendezvousWeight(endpoint.id.value(), nodes[i].id.value()));
            if (load[i] < bound && (best == nodes.size() || weight > bestWeight)) {
                best = i;
                bestWeight = weight;
            }
        }
        ++load[best];
        users.push_back(best);
    }
    return users;
}

} // namespace

std::vector<base::endpoint_id>
    subsetFor(const base::node_id &self, const std::vector<zoned<base::node_id>> &nodes, const std::vector<zoned<base::endpoint_id>> &pool)
{
    // All nodes must process the ids in the same order to get the same result.
    std::vector<zoned<base::node_id>> orderedNodes = nodes;
    std::vector<zoned<base::endpoint_id>> orderedPool = pool;
    std::sort(orderedNodes.begin(), orderedNodes.end(), [](const auto &left, const auto &right) { return left.id < right.id; });
    std::sort(orderedPool.begin(), orderedPool.end(), [](const auto &left, const auto &right) { return left.id < right.id; });
    const auto own = std::find_if(orderedNodes.begin(), orderedNodes.end(), [&self](const auto &node) { return node.id == self; });
    if (own == orderedNodes.end()) {
        return {};
    }
    const auto ownIndex = static_cast<std::size_t>(own - orderedNodes.begin());
    const std::vector<std::size_t> users = guaranteedUsers(orderedNodes, orderedPool);

    std::vector<std::tuple<int, std::uint64_t, std::size_t>> ranked;
    std::size_t guaranteed = 0;
    for (std::size_t i = 0; i < orderedPool.size(); ++i) {
        const bool mustUse = users[i] == ownIndex;
        const int rank = mustUse ? 0 : (orderedPool[i].zone == own->zone ? 1 : 2);
        guaranteed += mustUse ? 1 : 0;
        ranked.emplace_back(rank, ~rendezvousWeight(self.value(), orderedPool[i].id.value()), i);
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), std::max(maxSubset, guaranteed)));
    std::vector<base::endpoint_id> subset;
    subset.reserve(ranked.size());
    for (const auto &[rank, weight, index] : ranked) {
        subset.push_back(orderedPool[index].id);
    }
    return subset;
}

} // namespace chervilbend::membership
