#pragma once

#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/base/work_class.hpp>

#include <string>
#include <string_view>

namespace chervilbend::node
{

/// Result of a request for the daily page. Each request is counted once, in the minute in which it ended.
enum class request_result {
    /// Answered completely within its deadline.
    met,
    /// Answered after its deadline.
    late,
    /// Not started; answered with a problem document.
    refused,
    /// Started, but not answered completely.
    failed,
    /// Cancelled by the caller. Has no effect on attainment.
    cancelled,
};

/// Names of the counts in state::minute_counts_entry. Each node counts its own observations. The page sums the counts of all nodes, except
/// that it takes the maximum of failureCounter(), because several nodes observe the same failure.

/// Unit: requests. "work/SERVICE/CLASS/RESULT".
std::string requestCounter(std::string_view service, base::work_class urgency, request_result result);

/// Why requests were refused. Unit: requests. "refused/SERVICE/KIND".
std::string refusalCounter(std::string_view service, base::error_kind kind);

/// Answers to non-idempotent orders, replays not counted. Unit: orders. "orders/SERVICE/ran", ".../not run" or ".../unknown".
std::string orderCounter(std::string_view service, base::run_state state);

/// Decided publishes, counted only by the node that received the publish from the operator. Unit: publishes.
/// "config/SERVICE/accepted" or "config/SERVICE/rejected".
std::string configCounter(std::string_view service, bool accepted);

/// Time within the minute for which a component was not working, as observed by this node. Unit: milliseconds, 0 to 60,000.
/// "failed/COMPONENT", where COMPONENT is "log", "store", "host list", "endpoint ID", "node ID", or "model NAME" for a declared model
/// without a loaded copy.
std::string failureCounter(std::string_view component);

/// Loads and unloads, counted by the owner of the endpoint once the engine has confirmed them.
inline constexpr std::string_view loadsCounter = "moves/loads"; ///< Unit: items.
inline constexpr std::string_view unloadsCounter = "moves/unloads"; ///< Unit: items.
inline constexpr std::string_view loadedBytesCounter = "moves/bytes"; ///< Unit: bytes.
inline constexpr std::string_view loadTimeCounter = "moves/milliseconds"; ///< Unit: milliseconds between command and confirmation, summed.

/// 1 in the first minute of a node's incarnation, which may be shorter than a minute.
inline constexpr std::string_view startedCounter = "node/started";
/// 1 in the last minute of a node before a planned stop.
inline constexpr std::string_view stoppedCounter = "node/stopped";
/// 1 in the minute in which this node declared the other one dead. "node/lost/ID".
std::string lostCounter(std::string_view node);

} // namespace chervilbend::node
