#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::node
{

/// State of this node's connection to the log service.
struct log_status {
    bool reachable = false;
    /// Time since the last response of the log service.
    base::milliseconds lastAnswerAge{0};
    /// Offset of the newest record that the log service reported.
    base::log_offset head;
};

} // namespace chervilbend::node
