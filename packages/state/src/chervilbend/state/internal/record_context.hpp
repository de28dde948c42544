#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>

namespace chervilbend::state
{

/// Offset and time of the record that is being applied.
struct record_context {
    base::log_offset offset;
    /// Wall-clock time derived from the records, identical on all nodes.
    base::milliseconds time{0};
};

} // namespace chervilbend::state
