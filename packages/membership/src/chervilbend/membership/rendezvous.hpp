#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chervilbend::membership
{

/// At most so many nodes hold leases, which bounds the heartbeats in the log.
inline constexpr std::size_t maxHolders = 32;

/// Rendezvous hashing (Thaler, Ravishankar 1998): the weight of @p node for @p key. The node with the highest weight is chosen; a node
/// that comes or goes changes the choice only for the keys that it gains or loses.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// The first maxHolders nodes by the hash of their id.
std::vector<base::node_id> holderCandidates(std::vector<base::node_id> eligible);

/// The node that should hold the lease; an empty id when there are no candidates.
base::node_id intendedHolder(const base::lease_name &lease, const std::vector<base::node_id> &candidates);

} // namespace chervilbend::membership
