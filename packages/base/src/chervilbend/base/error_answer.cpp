#include <chervilbend/base/error_answer.hpp>

#include <array>
#include <cstddef>

namespace chervilbend::base
{

namespace
{

using enum error_kind;

constexpr std::array answers{
    error_answer{badRequest, "bad-request", 400, "The request is malformed", run_state::notRun, false},
    error_answer{unknownRoute, "unknown-route", 404, "No declared route matches", run_state::notRun, false},
    error_answer{unknownModel, "unknown-model", 404, "No service declares this model", run_state::notRun, false},
    error_answer{unauthorized, "unauthorized", 401, "The message is not signed with a valid key", run_state::notRun, false},
    error_answer{unknownKey, "unknown-key", 401, "The request has no valid key", run_state::notRun, false},
    error_answer{configurationUnconfirmed, "configuration-unconfirmed", 503, "The key cannot be checked now", run_state::notRun, true},
    error_answer{quotaExceeded, "quota-exceeded", 429, "The account has used its quota", run_state::notRun, true},
    error_answer{headerTooLarge, "header-too-large", 431, "The request header is too large", run_state::notRun, false},
    error_answer{bodyTooLarge, "body-too-large", 413, "The request body is too large", run_state::notRun, false},
    error_answer{requestTimeout, "request-timeout", 408, "The request did not arrive in time", run_state::notRun, false},
    error_answer{missingIdempotencyKey, "missing-idempotency-key", 400, "This route requires an idempotency key", run_state::notRun, false},
    error_answer{idempotencyKeyReused, "idempotency-key-reused", 422, "The idempotency key was used with another body", run_state::notRun, false},
    error_answer{idempotencyKeyExpired, "idempotency-key-expired", 409, "The idempotency key is past its life", run_state::unknown, false},
    error_answer{overloaded, "overloaded", 503, "The queue is full", run_state::notRun, true},
    error_answer{deadlineUnmeetable, "deadline-unmeetable", 503, "The deadline cannot be met any more", run_state::notRun, true},
    error_answer{noEndpoint, "no-endpoint", 503, "No endpoint can take the request now", run_state::notRun, true},
    error_answer{endpointRefused, "endpoint-refused", 502, "The endpoint could not be reached", run_state::notRun, true},
    error_answer{endpointFailed, "endpoint-failed", 502, "The endpoint failed during the request", run_state::unknown, false},
    error_answer{endpointInvalidAnswer, "endpoint-invalid-answer", 502, "The endpoint's answer is invalid", run_state::unknown, false},
    error_answer{orderNotDispatched, "order-not-dispatched", 503, "The order was not dispatched", run_state::notRun, true},
    error_answer{outcomeUnknown, "outcome-unknown", 504, "The outcome of the order is not known", run_state::unknown, true},
    error_answer{requestRefused, "request-refused", 422, "Earlier runs of this request crashed their endpoints", run_state::notRun, false},
    error_answer{notResumable, "not-resumable", 503, "The stream cannot be continued", run_state::notRun, false},
    error_answer{shuttingDown, "shutting-down", 503, "The node is shutting down", run_state::notRun, true},
    error_answer{logUnavailable, "log-unavailable", 503, "The platform's log service is unavailable", run_state::unknown, true},
    error_answer{peerUnavailable, "peer-unavailable", 503, "The peer is unavailable", run_state::notRun, true},
    error_answer{configConflict, "config-conflict", 409, "Another change was accepted first", run_state::notRun, false},
    error_answer{configInvalid, "config-invalid", 422, "The declaration is invalid", run_state::notRun, false},
    error_answer{configDoesNotFit, "config-does-not-fit", 422, "The declared models do not fit into memory", run_state::notRun, false},
    error_answer{settingInvalid, "setting-invalid", 500, "A setting is invalid", run_state::notRun, false},
    error_answer{recordInvalid, "record-invalid", 500, "A log record is invalid", run_state::notRun, false},
    error_answer{internal, "internal", 500, "Internal error", run_state::unknown, false},
};

consteval bool isInEnumerationOrder()
{
    for (std::size_t i = 0; i < answers.size(); ++i) {
        if (static_cast<std::size_t>(answers[i].kind) != i) {
            return false;
        }
    }
    return answers.size() == static_cast<std::size_t>(internal) + 1;
}

static_assert(isInEnumerationOrder(), "the table must have one row per error_kind, in the order of the enumeration");

} // namespace

const error_answer &answerFor(error_kind kind)
{
    return answers[static_cast<std::size_t>(kind)];
}

std::span<const error_answer> errorAnswers()
{
    return answers;
}

std::string_view toString(run_state state)
{
    switch (state) {
    case run_state::notRun:
        return "not run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace chervilbend::base
