#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstdint>

namespace chervilbend::routing
{

/// An endpoint's own word on its load, late by @p lag.
struct load_report {
    std::int64_t running = 0;
    std::int64_t queued = 0;
    base::milliseconds lag{0};
    /// Changes with every start of the endpoint's process; 0 when it is not known.
    std::int64_t incarnation = 0;
};

} // namespace chervilbend::routing
