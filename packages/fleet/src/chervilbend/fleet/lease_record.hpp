#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstdint>
#include <string>

namespace chervilbend::fleet
{

/// The right of one node to command the engines, as it stands in the platform's store.
struct lease_record {
    base::node_id holder;
    /// Tells lives of the holder's process apart.
    std::int64_t incarnation = 0;
    /// "IP:PORT" at which other nodes reach the holder.
    std::string peerAddress;
    /// Fencing token: the offset of the record that took the lease. 0 in that record itself, since its offset is not known before.
    std::int64_t token = 0;
    /// Grows with every renewal.
    std::int64_t renewal = 0;
    /// Nodes that the holder has counted, for nodes that start before a holder can tell them; 0 when nobody has counted them yet.
    int nodes = 0;
    /// The holder gives the lease up; no command of it can follow.
    bool released = false;

    friend bool operator==(const lease_record &, const lease_record &) = default;
};

} // namespace chervilbend::fleet
