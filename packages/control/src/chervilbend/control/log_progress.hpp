#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::control
{

/// Provides how far this node has read the log.
class log_progress
{
public:
    virtual ~log_progress() = default;

    /// When the latest read that reached the head of the log began: all records appended before that time have been applied.
    /// time_point::min() before the first such read.
    virtual base::time_point caughtUpAt() const = 0;
};

} // namespace chervilbend::control
