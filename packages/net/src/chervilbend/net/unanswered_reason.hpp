#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chervilbend::net
{

/// Why a request that had been read ended without a complete answer.
enum class unanswered_reason {
    /// The caller closed its connection.
    callerLeft,
    /// The node closed it, at the end of a planned stop.
    aborted,
    /// The answer could not be completed, or its end was not known.
    brokenOff,
};

/// Numbers of requests, by their unanswered_reason.
using unanswered_counts = std::array<std::uint64_t, 3>;

/// Name of a reason in log lines and metrics.
constexpr std::string_view toString(unanswered_reason reason)
{
    constexpr std::array<std::string_view, 3> names{"caller_left", "aborted", "broken_off"};
    return names[static_cast<std::size_t>(reason)];
}

} // namespace chervilbend::net
