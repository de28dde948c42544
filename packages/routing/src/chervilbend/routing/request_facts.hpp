#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/base/work_class.hpp>

#include <cstdint>
#include <string>

namespace chervilbend::routing
{

/// What the traffic director knows of a request when it decides.
struct request_facts {
    /// Endpoints are pooled by what they serve: an item's id, or "service/ID" for a plain service.
    std::string pool;
    /// Retries are bounded for each of these apart: the service that the request goes to. Empty where one bound serves all.
    std::string retryGroup;
    base::account_id account;
    base::work_class urgency = base::work_class::normal;
    base::time_point deadline;
    /// Time after which it is no longer sent: its caller would leave before the first byte. The clock's maximum for none.
    base::time_point latestDispatch = base::time_point::max();
    base::token_count promptTokens;
    /// Upper bound of generated tokens.
    base::token_count maxTokens;
    /// Hash of account, route, model and body.
    std::uint64_t fingerprint = 0;
    /// Hash of the prompt's beginning, for affinity to a cached prefix; 0 for none.
    std::uint64_t prefix = 0;
    /// Whether it may be sent again after it may have run.
    bool repeatable = true;
};

} // namespace chervilbend::routing
