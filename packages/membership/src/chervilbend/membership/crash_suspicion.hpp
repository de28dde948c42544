#pragma once

#include <cstdint>

namespace chervilbend::membership
{

/// A request fingerprint that was in flight when endpoints crashed.
struct crash_suspicion {
    std::uint64_t fingerprint = 0;
    int crashes = 0;

    friend bool operator==(const crash_suspicion &, const crash_suspicion &) = default;
};

} // namespace chervilbend::membership
