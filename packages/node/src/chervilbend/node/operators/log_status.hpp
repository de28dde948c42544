#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::node
{

/// How well this node reaches the log service.
struct log_status {
    bool reachable = false;
    /// Time since its last answer.
    base::milliseconds age{0};
    /// Offset of the newest record that it told of.
    base::log_offset head;
};

} // namespace chervilbend::node
