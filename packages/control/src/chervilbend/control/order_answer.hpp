#pragma once

#include <chervilbend/base/error_kind.hpp>

#include <string>

namespace chervilbend::control
{

/// The answer to an order, from its endpoint or from the record of an earlier attempt.
struct order_answer {
    base::run_state state = base::run_state::unknown;
    /// HTTP status of the endpoint's answer; 0 if there was none.
    int httpStatus = 0;
    /// Reason phrase of the endpoint's answer. Not stored in the order's record, so empty when the answer is repeated from there.
    std::string reasonPhrase;
    std::string contentType;
    std::string body;
    /// Reason if there is no answer from an endpoint.
    base::error_kind kind = base::error_kind::outcomeUnknown;
    std::string detail;
    /// Whether this is the recorded answer of an earlier attempt with the same key.
    bool replayed = false;
};

} // namespace chervilbend::control
