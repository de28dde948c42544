#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/work_class.hpp>

namespace chervilbend::config
{

/// How much a service's requests to its models matter.
struct model_policy {
    /// The most urgent class that a caller may ask for.
    base::work_class highestUrgency = base::work_class::urgent;
    base::work_class defaultUrgency = base::work_class::normal;
    /// Longest time until the whole answer; a caller may ask for less, not for more.
    base::milliseconds deadline{120'000};

    friend bool operator==(const model_policy &, const model_policy &) = default;
};

} // namespace chervilbend::config
