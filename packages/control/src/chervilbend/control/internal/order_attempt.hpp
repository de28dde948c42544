#pragma once

#include <chervilbend/control/order_answer.hpp>
#include <chervilbend/control/order_request.hpp>
#include <chervilbend/external/log_service.hpp>

#include <memory>
#include <optional>
#include <string>

namespace chervilbend::control
{

/// The answer to an append, once it has come.
using append_answer = std::optional<external::append_result>;

/// One call of the gateway.
struct order_attempt {
    order_request order;
    std::string keyHash;
    std::string bodyHash;
    std::string claimId;
    /// What freed the key last, as folded when the attempt arrived.
    base::log_offset base;
    /// Wall-clock time of arrival.
    base::milliseconds arrivedAt{0};
    /// Answer to the append of the claim.
    std::shared_ptr<append_answer> appended = std::make_shared<append_answer>();
    /// Answer of the dispatch.
    std::optional<order_answer> answer;
};

} // namespace chervilbend::control
