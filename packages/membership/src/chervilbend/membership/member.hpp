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
    /// Did not answer a probe, directly or through others; still counts as live.
    suspect,
    dead,
};

/// What a node knows of a node. Also the update that is piggybacked on probes.
struct member {
    base::node_id id;
    base::incarnation incarnation;
    /// Raised by the member itself, to refute a suspicion or to announce that it leaves. Starts at 0 in each life.
    std::int64_t revision = 0;
    /// IP number and port for its peers.
    std::string address;
    base::zone_id zone;
    member_state state = member_state::alive;
    /// On its way out: holds no leases.
    bool leaving = false;

    friend bool operator==(const member &, const member &) = default;
};

/// Whether @p update replaces @p known: a newer word of the member itself, or a worse state for the same word.
inline bool supersedes(const member &update, const member &known)
{
    return std::tuple(update.incarnation, update.revision, update.state) > std::tuple(known.incarnation, known.revision, known.state);
}

} // namespace chervilbend::membership
