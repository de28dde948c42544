#pragma once

#include <chervilbend/base/error_kind.hpp>

#include <span>
#include <string_view>

namespace chervilbend::base
{

/// What a caller is told about an error of one kind.
struct error_answer {
    error_kind kind;
    /// Last part of the problem document's type, and the name in logs and metrics.
    std::string_view name;
    int httpStatus;
    std::string_view title;
    /// Whether the work ran when this error ends a request. For plain requests that may be repeated, too.
    run_state state;
    /// Whether the answer carries Retry-After.
    bool retryLater;
};

/// The row of the table for a kind.
const error_answer &answerFor(error_kind kind);

/// The whole table, in the order of the enumeration.
std::span<const error_answer> errorAnswers();

} // namespace chervilbend::base
