#pragma once

#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/base/work_class.hpp>

#include <string>
#include <string_view>

namespace chervilbend::node
{

/// How a request ended, for the daily page. Each request counts once, in the minute in which it ended.
enum class request_result {
    /// Answered as a whole within its deadline.
    met,
    /// Answered after its deadline.
    late,
    /// Not started, with a problem document.
    refused,
    /// Started, but not answered as a whole.
    failed,
    /// Given up by the caller. Counts neither for nor against attainment.
    cancelled,
};

/// Names of the counts in state::day_entry. A node counts what it sees itself; the page adds the nodes' counts up, but for
/// failureCounter(), of which it takes the greatest, because several nodes see the same failure.

/// Unit: requests. "work/SERVICE/CLASS/END".
std::string requestCounter(std::string_view service, base::work_class urgency, request_result end);

/// Why requests were refused. Unit: requests. "refused/SERVICE/KIND".
std::string refusalCounter(std::string_view service, base::error_kind kind);

/// Answers to non-idempotent orders, replays not counted. Unit: orders. "orders/SERVICE/ran", ".../not run" or ".../unknown".
std::string orderCounter(std::string_view service, base::run_state state);

/// Decided publishes, counted only by the node that took the publish from its operator. Unit: publishes.
/// "config/SERVICE/accepted" or "config/SERVICE/rejected".
std::string configCounter(std::string_view service, bool accepted);

/// For how long in this minute something did not work, as this node saw it. Unit: milliseconds, 0 to 60,000. "failed/WHAT", where WHAT is
/// "log", "store", "host list", "endpoint ID", "node ID", or "model NAME" for a declared model without a loaded copy.
std::string failureCounter(std::string_view component);

/// Moves, counted by the owner of the endpoint when the engine has confirmed.
inline constexpr std::string_view loadsCounter = "moves/loads"; ///< Unit: items.
inline constexpr std::string_view unloadsCounter = "moves/unloads"; ///< Unit: items.
inline constexpr std::string_view loadedBytesCounter = "moves/bytes"; ///< Unit: bytes.
inline constexpr std::string_view loadTimeCounter = "moves/milliseconds"; ///< Unit: milliseconds between command and confirmation, summed.

/// 1 in the first minute of a node's life, which may be shorter than a minute.
inline constexpr std::string_view startedCounter = "node/started";
/// 1 in the last minute of a node that stops as planned.
inline constexpr std::string_view stoppedCounter = "node/stopped";
/// 1 in the minute in which this node declared the other one dead. "node/lost/ID".
std::string lostCounter(std::string_view node);

} // namespace chervilbend::node
