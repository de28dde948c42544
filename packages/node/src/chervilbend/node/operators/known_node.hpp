#pragma once

#include <chervilbend/base/ids.hpp>

#include <string>

namespace chervilbend::node
{

/// A node in the membership list.
struct known_node {
    base::node_id id;
    /// IP address and port for connections from its peers.
    std::string address;
    base::zone_id zone;
    /// "alive", "suspect" or "dead".
    std::string state;
    bool draining = false;
};

} // namespace chervilbend::node
