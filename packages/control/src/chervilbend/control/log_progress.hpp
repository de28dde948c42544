#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::control
{

/// How far this node follows the log.
class log_progress
{
public:
    virtual ~log_progress() = default;

    /// When the last read began after which the fold had reached the head of the log: all records appended before that are folded.
    /// The minimum before the first one.
    virtual base::time_point caughtUpAt() const = 0;
};

} // namespace chervilbend::control
