#pragma once

#include <string>

namespace chervilbend::membership
{

/// The shared keys of all nodes. To rotate: set the new key as second on all nodes, swap the two, then clear the old one.
struct signing_keys {
    /// Signs own messages.
    std::string first;
    /// Accepted besides the first; empty for none.
    std::string second;
};

} // namespace chervilbend::membership
