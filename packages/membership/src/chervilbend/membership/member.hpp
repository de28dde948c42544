#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>

#include <cstdint>
#include <string>
#include <tuple>

namespace chervilbend::membership
{

enum class member_state {
    alive,
    /// Answered neither a direct nor an indirect probe; still counts as live.
    suspect,
    dead,
};

/// What a node knows about a node. Also serves as the update that is piggybacked on probes.
struct member {
    base::node_id id;
    base::incarnation incarnation;
    /// Incremented only by the member itself, to refute a suspicion or to announce that it leaves. Starts at 0 in each incarnation. Corresponds
    /// to the incarnation number of SWIM.
    std::int64_t revision = 0;
    /// IP address and port for its peers.
    std::string address;
    base::zone_id zone;
    member_state state = member_state::alive;
    /// The member is about to stop and holds no leases.
    bool draining = false;

    friend bool operator==(const member &, const member &) = default;
};

/// Whether @p update replaces @p known: a later incarnation or revision, or a worse state in the same revision.
inline bool supersedes(const member &update, const member &known)
{
    return std::tuple(update.incarnation, update.revision, update.state) > std::tuple(known.incarnation, known.revision, known.state);
}

} // namespace chervilbend::membership
