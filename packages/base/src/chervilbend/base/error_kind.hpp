#pragma once

#include <string_view>

namespace chervilbend::base
{

/// All kinds of errors. error_answer.hpp maps each of them to the response that a caller receives.
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
    /// The software version that began a stream is not known, or serves no more.
    notResumable,
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

/// Whether the work of a request was executed; unknown if neither is certain.
enum class run_state {
    notRun,
    ran,
    unknown,
};

/// "not run", "ran" or "unknown".
std::string_view toString(run_state state);

} // namespace chervilbend::base
