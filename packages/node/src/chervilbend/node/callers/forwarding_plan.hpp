#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fleet/engine_update.hpp>
#include <chervilbend/routing/request_facts.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace chervilbend::node
{

class endpoint_dialect;

/// How one request is to be forwarded.
struct forwarding_plan {
    routing::request_facts facts;
    /// Must outlive the request; nullptr for the product's own interface.
    const endpoint_dialect *dialect = nullptr;
    /// The endpoint is a model engine of the product's own interface: a stream is whole only when it ends with "[DONE]", and tokens are counted.
    bool inference = false;
    /// Passed on as `Idempotency-Key`; empty for none.
    std::string idempotencyKey;
    /// Names the caller's attempt in log lines and tells answers apart; empty where requests have no id.
    std::string attempt;
    /// The model or adapter that the request needs; an empty model for none.
    fleet::requested_item item;
    /// Endpoints that the request may be sent to; 0 for no bound.
    int mostAttempts = 0;
    /// 0 is the most urgent; no value leaves it to the endpoint.
    std::optional<int> urgency;
    /// A stream may go on at another endpoint after its last whole event.
    bool resumable = false;
    /// The caller has the events up to this one.
    std::optional<std::int64_t> lastEvent;
    int tokensPerEvent = 1;
    /// Longest silence of an endpoint after which a repeatable request is sent to another; 0 to wait until the deadline.
    base::milliseconds patience{0};
    /// Callers of the platform's wire go by the status alone: 503 says that nothing ran, every other failure says nothing. Bytes that are
    /// not an endpoint's never get into its answer, and an answer may end with its connection.
    bool statusIsPromise = false;
};

} // namespace chervilbend::node
