#pragma once

#include <chervilbend/base/ids.hpp>

#include <string>

namespace chervilbend::node
{

/// A node as membership sees it.
struct known_node {
    base::node_id id;
    /// IP number and port for its peers.
    std::string address;
    base::zone_id zone;
    /// "alive", "suspect" or "dead".
    std::string state;
    bool leaving = false;
};

} // namespace chervilbend::node
