#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chervilbend::control
{

/// How a follower reads its stream.
struct log_follower_options {
    /// Name of the stream, for checkpoints and log lines.
    std::string stream = "control";
    /// How long the log service may hold a read back when there is no new record.
    base::milliseconds longestWait{2'000};
    /// Least time between two reads. More than 0 saves the headers of many small reads, at the price of latency.
    base::milliseconds minReadInterval{0};
    /// Pause after a failed read; doubles up to longestPause.
    base::milliseconds firstPause{100};
    base::milliseconds longestPause{5'000};
    /// Spreads the retries of different nodes.
    std::uint64_t seed = 0;
    /// Called with the payload of each record after it was folded. Empty for none.
    std::function<void(std::string_view payload)> onRecord = {};
};

} // namespace chervilbend::control
