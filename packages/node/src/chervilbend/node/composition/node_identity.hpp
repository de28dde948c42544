#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::node
{

/// Which node this is, and in which life.
struct node_identity {
    base::node_id id;
    /// Wall-clock milliseconds at the start of the process, so that a later life has a greater number although hosts keep nothing.
    base::incarnation life;
    base::zone_id zone;
    /// IP number and port for its peers.
    std::string peerAddress;
};

} // namespace chervilbend::node
