#pragma once

#include <string>

namespace chervilbend::membership
{

/// The keys shared by all nodes. To rotate them, set the new key as the secondary one on all nodes, swap the two, then clear the old one.
struct signing_keys {
    /// Signs messages of this node.
    std::string primary;
    /// Also accepted in messages of others; empty for none.
    std::string secondary;
};

} // namespace chervilbend::membership
