#pragma once

#include <cstdint>
#include <string>

namespace chervilbend::load
{

/// One attempt of a request through one node, with its result. Times are wall-clock milliseconds, so that the histories of several
/// processes can be merged.
struct attempt {
    /// "chat", "urgent", "batch" or "order".
    std::string kind;
    std::string request;
    int number = 1;
    /// IP:PORT of the port at which the node serves callers.
    std::string node;
    /// The model for a completion, the idempotency key for an order.
    std::string subject;
    std::int64_t sentMs = 0;
    std::int64_t endMs = 0;
    /// HTTP status; 0 when no response header arrived.
    int status = 0;
    /// Value of X-Run-State: "ran", "not run" or "unknown"; empty when the response has no such field.
    std::string runState;
    /// Whether the connection was refused, so that nothing was sent.
    bool connectionRefused = false;
    /// Whether the caller's timeout expired.
    bool timedOut = false;
    /// Whether the response arrived completely.
    bool isComplete = false;
    /// Whether the response belongs to this request.
    bool matchesRequest = false;
    /// Whether the node reported a failure, in a problem document or an error event.
    bool failureReported = false;
    bool retryAfter = false;
    /// Whether the caller stopped retrying after this attempt without a complete response.
    bool givenUp = false;
    std::string detail;
};

} // namespace chervilbend::load
