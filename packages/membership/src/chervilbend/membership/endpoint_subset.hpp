#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstddef>
#include <vector>

namespace chervilbend::membership
{

/// A node or an endpoint with its zone.
template<typename Id>
struct zoned {
    Id id;
    base::zone_id zone;
};

/// Maximum of endpoints of a pool that one node uses, unless there are too few nodes to use all endpoints.
inline constexpr std::size_t maxSubset = 12;

/// Returns the endpoints of a pool that @p self uses.
///
/// Every endpoint is used by at least one node: each is first assigned to one node by rendezvous hashing, with the same limit for all nodes
/// and a preference for nodes of its zone. Each node then fills up its subset in the order of hashes, its own zone first. @p nodes are the
/// live nodes, including @p self.
std::vector<base::endpoint_id>
    subsetFor(const base::node_id &self, const std::vector<zoned<base::node_id>> &nodes, const std::vector<zoned<base::endpoint_id>> &pool);

} // namespace chervilbend::membership
