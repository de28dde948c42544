#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::node
{

/// Identity of this node and of its running process.
struct node_identity {
    base::node_id id;
    /// Wall-clock time in milliseconds at the start of the process. A later incarnation thus has a greater number although hosts keep no
    /// state across restarts.
    base::incarnation incarnation;
    base::zone_id zone;
    /// IP address and port for connections from other nodes.
    std::string peerAddress;
};

} // namespace chervilbend::node
