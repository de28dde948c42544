#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/base/work_class.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::routing
{

/// The properties of a request on which the traffic director bases its decisions.
struct request_facts {
    /// The pool of endpoints that can serve the request: an item's id, or "service/ID" for a plain service.
    std::string pool;
    /// Requests with the same retry group share a retry budget: the id of the target service. Empty if one budget serves all.
    std::string retryGroup;
    base::account_id account;
    base::work_class urgency = base::work_class::normal;
    base::time_point deadline;
    /// Time after which the request is not sent for the first time, since its caller would leave before the first byte arrives. The clock's
    /// maximum for no bound.
    base::time_point latestDispatch = base::time_point::max();
    base::token_count promptTokens;
    /// Upper bound of the number of generated tokens.
    base::token_count maxTokens;
    /// Hash of account, route, model and body. Identifies repetitions of the same request; 0 for none.
    std::uint64_t fingerprint = 0;
    /// Hashes of the parts of the prompt that other requests may share, in the order of the prompt; each identifies the part alone.
    std::vector<std::uint64_t> promptParts;
    /// Hash of the beginning of the prompt, used for affinity to endpoints that have the prefix cached; 0 for none.
    std::uint64_t prefixHash = 0;
    /// Whether the request may be sent again although an earlier attempt may have run.
    bool repeatable = true;
    /// The request continues a stream that this version began, and only endpoints of the same version can serve it; empty for any.
    base::software_version softwareVersion{};
    /// Tokens of that stream that the caller already has; only the rest is generated.
    base::token_count receivedTokens{};
};

} // namespace chervilbend::routing
