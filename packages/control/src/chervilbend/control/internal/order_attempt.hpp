#pragma once

#include <chervilbend/control/order_answer.hpp>
#include <chervilbend/control/order_request.hpp>
#include <chervilbend/external/log_service.hpp>

#include <memory>
#include <optional>
#include <string>

namespace chervilbend::control
{

/// The result of an append; no value until it is received.
using append_response = std::optional<external::append_result>;

/// State of one call of order_gateway::run().
struct order_attempt {
    order_request order;
    std::string keyHash;
    std::string bodyHash;
    std::string claimId;
    /// Offset of the record that last freed the key, as applied when the attempt arrived.
    base::log_offset base;
    /// Wall-clock time of arrival.
    base::milliseconds arrivedAt{0};
    /// Result of the append of the claim.
    std::shared_ptr<append_response> appended = std::make_shared<append_response>();
    /// Answer returned by the dispatch.
    std::optional<order_answer> answer;
};

} // namespace chervilbend::control
