#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstdint>

namespace chervilbend::routing
{

/// The load that an endpoint reports of itself. The values are @p lag old when the report arrives.
struct load_report {
    std::int64_t running = 0;
    std::int64_t queued = 0;
    base::milliseconds lag{0};
    /// Incarnation number of the endpoint's process, which changes with every start; 0 if unknown.
    std::int64_t incarnation = 0;
};

} // namespace chervilbend::routing
