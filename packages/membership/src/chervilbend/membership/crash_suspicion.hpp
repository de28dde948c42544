#pragma once

#include <cstdint>

namespace chervilbend::membership
{

/// The fingerprint of a request that was in flight when endpoints crashed, and the number of these crashes.
struct crash_suspicion {
    std::uint64_t fingerprint = 0;
    int crashes = 0;

    friend bool operator==(const crash_suspicion &, const crash_suspicion &) = default;
};

} // namespace chervilbend::membership
