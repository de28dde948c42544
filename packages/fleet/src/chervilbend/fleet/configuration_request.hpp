#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstdint>
#include <optional>

namespace chervilbend::fleet
{

/// A node's request for a configuration newer than its own.
struct configuration_request {
    base::node_id node;
    /// No value if the node has no configuration.
    std::optional<std::int64_t> version;

    friend bool operator==(const configuration_request &, const configuration_request &) = default;
};

} // namespace chervilbend::fleet
