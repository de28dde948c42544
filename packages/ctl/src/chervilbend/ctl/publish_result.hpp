#pragma once

#include <chervilbend/ctl/exit_code.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::ctl
{

/// Result of publishing one service.
struct publish_result {
    std::string service;
    /// Empty if the declaration was already in force and nothing was sent.
    std::string publishId;
    exit_code code = exit_code::done;
    /// Version that the publish is based on and replaces; 0 for a new service.
    std::int64_t base = 0;
    /// Version number of the declaration; 0 if it was not accepted.
    std::int64_t version = 0;
    /// Differences from the version that was in force at the start, one per line.
    std::vector<std::string> changes;
    /// The outcome and its details, one sentence per line.
    std::vector<std::string> outcome;
    int nodesInForce = 0;
    int nodesKnown = 0;
};

} // namespace chervilbend::ctl
