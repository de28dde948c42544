#pragma once

#include <cstdint>
#include <string>

namespace chervilbend::load
{

/// One sending of a request through one node, and what came back. Times are wall-clock milliseconds, so that several processes share them.
struct attempt {
    /// "chat", "urgent", "batch" or "order".
    std::string kind;
    std::string request;
    int number = 1;
    /// IP:PORT of the node's callers' port.
    std::string node;
    /// Model of a completion, idempotency key of an order.
    std::string subject;
    std::int64_t sentMs = 0;
    std::int64_t endMs = 0;
    /// HTTP status; 0 when none arrived.
    int status = 0;
    /// "ran", "not run", "unknown", or empty when the answer does not say.
    std::string run;
    /// The connection was refused, so that nothing was sent.
    bool refused = false;
    /// The caller's own time was up.
    bool timedOut = false;
    /// The answer arrived to its end.
    bool whole = false;
    /// The answer is the one to this request.
    bool own = false;
    /// The node said that the answer failed, in a problem document or an error event.
    bool reported = false;
    bool retryAfter = false;
    /// The caller sends no more after this attempt without a whole answer.
    bool givenUp = false;
    std::string detail;
};

} // namespace chervilbend::load
