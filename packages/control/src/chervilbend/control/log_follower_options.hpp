#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chervilbend::control
{

/// Options of a log_follower.
struct log_follower_options {
    /// Name of the stream, used for checkpoints and log messages.
    std::string stream = "control";
    /// How long the log service may hold a read while there is no new record (long polling).
    base::milliseconds maxWait{2'000};
    /// Minimum time between two reads. Values above 0 save the header overhead of many small reads but add latency.
    base::milliseconds minReadInterval{0};
    /// Delay after a failed read; doubles with each further failure up to maxBackoff.
    base::milliseconds initialBackoff{100};
    base::milliseconds maxBackoff{5'000};
    /// Seed of the retry jitter; should differ between nodes.
    std::uint64_t seed = 0;
    /// Called with the payload of each record after it was applied. May be empty.
    std::function<void(std::string_view payload)> onRecord = {};
};

} // namespace chervilbend::control
