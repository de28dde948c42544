#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <cstdint>
#include <string>

namespace chervilbend::fleet
{

/// The configuration in force on another node.
struct remote_configuration {
    base::node_id node;
    /// The record as it is in the store.
    std::string record;
    std::int64_t version = 0;
    /// Position in the store up to which the other node knows the configuration.
    std::int64_t position = 0;
    /// Time since the store last confirmed that this is the newest version.
    base::milliseconds age{0};

    friend bool operator==(const remote_configuration &, const remote_configuration &) = default;
};

} // namespace chervilbend::fleet
