#pragma once

#include <string_view>

namespace chervilbend::base
{

/// The closed list of what can go wrong. error_answer.hpp maps each kind to what a caller is told.
enum class error_kind {
    badRequest,
    unknownRoute,
    unknownModel,
    unauthorized,
    headerTooLarge,
    bodyTooLarge,
    requestTimeout,
    missingIdempotencyKey,
    idempotencyKeyReused,
    idempotencyKeyExpired,
    overloaded,
    deadlineUnmeetable,
    noEndpoint,
    endpointRefused,
    endpointFailed,
    endpointInvalidAnswer,
    orderNotDispatched,
    outcomeUnknown,
    requestRefused,
    shuttingDown,
    logUnavailable,
    peerUnavailable,
    configConflict,
    configInvalid,
    configDoesNotFit,
    settingInvalid,
    recordInvalid,
    internal,
};

/// Whether the work of a request was run, as far as it is certain.
enum class run_state {
    notRun,
    ran,
    unknown,
};

/// "not run", "ran" or "unknown".
std::string_view toString(run_state state);

} // namespace chervilbend::base
