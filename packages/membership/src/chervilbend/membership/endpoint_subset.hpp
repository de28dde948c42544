#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstddef>
#include <vector>

namespace chervilbend::membership
{

/// A node or an endpoint with its zone.
template<typename Id>
struct placed {
    Id id;
    base::zone_id zone;
};

/// At most so many endpoints of a pool are used by one node, unless there are too few nodes to reach them all.
inline constexpr std::size_t maxSubset = 12;

/// The endpoints of a pool that @p self uses.
///
/// Every endpoint is used by at least one node: each is first given to one node by rendezvous hashing, with an even bound per node and
/// nodes of its own zone first. Each node then fills its subset by hash, own zone first. @p nodes are the live nodes, @p self among them.
std::vector<base::endpoint_id>
    subsetFor(const base::node_id &self, const std::vector<placed<base::node_id>> &nodes, const std::vector<placed<base::endpoint_id>> &pool);

} // namespace chervilbend::membership
