#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstdint>
#include <string>

namespace chervilbend::fleet
{

/// The stored form of the lease that entitles one node to command the engines.
struct lease_record {
    base::node_id holder;
    /// Distinguishes successive processes of the holder.
    std::int64_t incarnation = 0;
    /// "IP:PORT" at which other nodes reach the holder.
    std::string peerAddress;
    /// Fencing token: one more than the offset of the record that acquired the lease. 0 in that record itself, whose offset is not known before
    /// it is written.
    std::int64_t token = 0;
    /// Increases with every renewal.
    std::int64_t renewal = 0;
    /// Node count of the holder, for nodes that start while no holder can be reached; 0 when it has not been counted yet.
    int nodes = 0;
    /// The holder has released the lease and will send no further commands.
    bool released = false;

    friend bool operator==(const lease_record &, const lease_record &) = default;
};

} // namespace chervilbend::fleet
