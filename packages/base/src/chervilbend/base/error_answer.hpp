#pragma once

#include <chervilbend/base/error_kind.hpp>

#include <span>
#include <string_view>

namespace chervilbend::base
{

/// The response to a caller for an error of one kind.
struct error_answer {
    error_kind kind;
    /// Last part of the problem document's type, and the name in logs and metrics.
    std::string_view name;
    int httpStatus;
    std::string_view title;
    /// Whether the work was executed when a request fails with this error. Also applies to plain requests, which may be repeated.
    run_state state;
    /// Whether the response has a Retry-After header.
    bool retryLater;
};

/// The table's entry for a kind.
const error_answer &answerFor(error_kind kind);

/// All entries of the table, in the order of the enumeration.
std::span<const error_answer> errorAnswers();

} // namespace chervilbend::base
