#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason.hpp>
#include <chervilbend/fleet/caller_request.hpp>
#include <chervilbend/net/http_types.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace chervilbend::fleet
{

/// What a request to an endpoint says beside what the caller sent.
struct attempt_metadata {
    /// Time that is left to the caller's request.
    base::milliseconds remaining{0};
    /// The endpoint's process that the request is meant for.
    base::endpoint_id instance;
    /// 0 is the most urgent; no value leaves it to the endpoint.
    std::optional<int> urgency;
    /// Events of a stream that the caller has already.
    std::optional<std::int64_t> lastEvent;
};

/// What the header of an endpoint's answer means for the request that was sent.
enum class answer_disposition {
    /// The endpoint's answer: goes to the caller unchanged.
    forwardToCaller,
    /// The endpoint has too much to do, and certainly did not run the request.
    notExecutedOverloaded,
    /// Another process has the address, or the endpoint does not hold the model; it certainly did not run the request.
    notExecutedMisdirected,
    /// The endpoint rejects the request itself, and certainly did not run it.
    notExecutedRejected,
    /// An answer to another request.
    mismatched,
    /// Not an answer that the endpoint vouches for.
    invalid,
};

/// How requests and answers are spelled between callers, this system and endpoints.
class request_codec
{
public:
    virtual ~request_codec() = default;

    /// No value, with @p why set, when the request does not say what it must.
    virtual std::optional<caller_request> read(const net::http_request &request, base::reason &why) const = 0;
    /// The request as an endpoint gets it; @p request is the caller's.
    virtual net::http_request forEndpoint(const net::http_request &request, const attempt_metadata &terms) const = 0;
    /// @p attempt is that of the request that was sent.
    virtual answer_disposition classifyAnswer(const net::http::response_header<> &answer, const std::string &attempt) const = 0;
};

} // namespace chervilbend::fleet
