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
    /// The caller has no key, or one that identifies no account.
    unknownKey,
    /// A node can't tell whether a key is valid, since the store has not confirmed its configuration lately.
    configurationUnconfirmed,
    /// The account has used its quota.
    quotaExceeded,
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
