#pragma once

namespace chervilbend::routing
{

/// The result of an attempt to send a request to an endpoint.
enum class request_outcome {
    answered,
    /// Nothing was written to the endpoint.
    notSent,
    /// The same, because of this node alone, such as without a free file descriptor. Says nothing about the endpoint.
    notAttempted,
    /// The endpoint refused the request because of overload.
    refused,
    /// The connection was lost while the request was running. The endpoint may have crashed.
    connectionLost,
    timedOut,
    /// The caller disconnected.
    cancelled,
};

/// Whether nothing was written to the endpoint, whatever the cause.
inline bool wasNotSent(request_outcome outcome)
{
    return outcome == request_outcome::notSent || outcome == request_outcome::notAttempted;
}

} // namespace chervilbend::routing
