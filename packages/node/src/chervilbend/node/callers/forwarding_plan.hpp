#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/engine_update.hpp>
#include <chervilbend/routing/request_facts.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chervilbend::node
{

class endpoint_protocol;
class quota_charge;

/// How one request is to be forwarded.
struct forwarding_plan {
    routing::request_facts facts;
    /// Must outlive the request; nullptr for the native protocol.
    const endpoint_protocol *protocol = nullptr;
    /// The endpoint is a model engine with the native protocol: a stream is complete only if it ends with "[DONE]", and tokens are counted.
    bool inference = false;
    /// Forwarded as `Idempotency-Key`; empty for none.
    std::string idempotencyKey;
    /// Identifies the caller's attempt in log lines and matches responses to requests; empty if the protocol has no request ids.
    std::string attemptId;
    /// The ids of the prompt parts that other requests may share, separated by commas, for log lines.
    std::string sharedPromptParts;
    /// The model or adapter that the request needs; its model is empty if there is none.
    fleet::requested_item item;
    /// Maximum number of attempts that may execute the request; 0 for no limit.
    int maxAttempts = 0;
    /// Urgency level, 0 being the most urgent; without a value, the endpoint chooses.
    std::optional<int> urgency;
    /// A broken stream may be resumed at another endpoint after its last complete event.
    bool resumable = false;
    /// Identifies the stream over all attempts of the caller: the hash of the attempt ID that brought, or will bring, its first event.
    std::uint64_t stream = 0;
    base::service_id service;
    /// The caller's account, empty for a public route without one; no value if the configuration has no accounts.
    std::optional<base::account_id> account;
    /// nullptr if the account has no quota, or another node has charged the request.
    std::shared_ptr<quota_charge> charge;
    /// Another node that reaches no endpoint has passed the request on; it is not passed on again.
    bool isRelayed = false;
    /// Id of the last event that the caller has received.
    std::optional<std::int64_t> lastEvent;
    int tokensPerEvent = 1;
    /// A repeatable request may be sent to another endpoint if it has received nothing for this long; 0 to wait until the deadline.
    base::milliseconds silenceTimeout{0};
    /// Callers of the platform's protocol rely on the status alone: 503 guarantees that the request was not executed, any other failure leaves it
    /// open. The node adds no bytes of its own to an endpoint's response, and a response may be delimited by the end of its connection.
    bool hasStrictStatus = false;

    /// Time until the deadline, at least 1 ms.
    base::milliseconds timeLeft() const
    {
        return std::max(facts.deadline - base::clock::now(), base::milliseconds(1));
    }
};

} // namespace chervilbend::node
