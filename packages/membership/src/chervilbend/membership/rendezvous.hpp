#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chervilbend::membership
{

/// Maximum of nodes that hold leases. Limits the heartbeats in the log.
inline constexpr std::size_t maxHolders = 32;

/// Rendezvous hashing (Thaler, Ravishankar 1998): returns the weight of @p node for @p key. The node with the highest weight is chosen, so a
/// node that joins or leaves changes the choice only for the keys that it gains or loses.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// Returns the first maxHolders nodes in the order of the hash of their id.
std::vector<base::node_id> holderCandidates(std::vector<base::node_id> eligible);

/// Returns the node that should hold the lease; an empty id if there are no candidates.
base::node_id intendedHolder(const base::lease_name &lease, const std::vector<base::node_id> &candidates);

} // namespace chervilbend::membership
