#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstdint>
#include <string>

namespace chervilbend::fakes
{

/// A change of an engine's prefix cache.
struct cache_event {
    std::int64_t sequence = 0;
    /// False for evicted.
    bool stored = false;
    std::string prefix;
    base::time_point when{};
};

} // namespace chervilbend::fakes
