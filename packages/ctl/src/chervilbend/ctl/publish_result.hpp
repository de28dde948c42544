#pragma once

#include <chervilbend/ctl/exit_code.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::ctl
{

/// What is known of the publish of one service at its end.
struct publish_result {
    std::string service;
    /// Empty when the declaration was in force already and nothing was sent.
    std::string publishId;
    exit_code code = exit_code::done;
    /// The version that was to be replaced; 0 for none.
    std::int64_t base = 0;
    /// The version in force by this publish; 0 when it was not accepted.
    std::int64_t version = 0;
    /// What it changes in the version that was in force when it started.
    std::vector<std::string> changes;
    /// The outcome and its details, one sentence a line.
    std::vector<std::string> outcome;
    int nodesInForce = 0;
    int nodesKnown = 0;
};

} // namespace chervilbend::ctl
