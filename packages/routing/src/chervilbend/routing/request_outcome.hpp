#pragma once

namespace chervilbend::routing
{

/// How a dispatched request ended.
enum class request_outcome {
    answered,
    /// Nothing was written to the endpoint.
    notSent,
    /// The endpoint refused it for overload.
    refused,
    /// The connection broke while the request ran: the endpoint may have crashed.
    connectionLost,
    timedOut,
    /// The caller went away.
    cancelled,
};

} // namespace chervilbend::routing
