#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::state
{

/// The record that is being folded.
struct record_context {
    base::log_offset offset;
    /// Wall-clock time as the records tell it, the same on all nodes.
    base::milliseconds time{0};
};

} // namespace chervilbend::state
