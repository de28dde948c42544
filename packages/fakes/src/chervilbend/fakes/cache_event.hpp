#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstdint>
#include <string>

namespace chervilbend::fakes
{

/// An insertion into or an eviction from an engine's prefix cache.
struct cache_event {
    std::int64_t sequence = 0;
    /// True for stored, false for evicted.
    bool stored = false;
    std::string prefix;
    base::time_point time{};
};

} // namespace chervilbend::fakes
