#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/work_class.hpp>

namespace chervilbend::config
{

/// Urgency and deadline of a service's requests to its models.
struct model_policy {
    /// The most urgent class that a caller may request.
    base::work_class highestUrgency = base::work_class::urgent;
    base::work_class defaultUrgency = base::work_class::normal;
    /// Maximum time until the complete response; a caller may request a shorter time but not a longer one.
    base::milliseconds deadline{120'000};

    friend bool operator==(const model_policy &, const model_policy &) = default;
};

} // namespace chervilbend::config
