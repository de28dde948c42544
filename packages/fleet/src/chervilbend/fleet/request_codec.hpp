#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason.hpp>
#include <chervilbend/fleet/caller_request.hpp>
#include <chervilbend/net/http_types.hpp>
#include <chervilbend/routing/endpoint_notice.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace chervilbend::fleet
{

/// Metadata that is added to the caller's request when it is sent to an endpoint.
struct attempt_metadata {
    /// Time until the deadline of the caller's request.
    base::milliseconds remaining{0};
    /// The endpoint process that the request is addressed to.
    base::endpoint_id instance;
    /// 0 is the most urgent; without a value the endpoint uses its own default.
    std::optional<int> urgency;
    /// The last event of the stream that the caller has received.
    std::optional<std::int64_t> lastEvent;
    /// The caller's account, empty for a public route without one; no value if the configuration has no accounts. With a value, the endpoint is not
    /// shown the caller's key.
    std::optional<base::account_id> account{};
};

/// Metadata that is added to the caller's request when it is passed on to another node, which serves it as its own.
struct relay_metadata {
    base::milliseconds remaining{0};
    /// Attempts that may have run the request.
    int attemptsUsed = 0;
    /// The version that began the stream that the request continues; empty if it begins one, or if that is not known.
    base::software_version softwareVersion;
    std::optional<std::int64_t> lastEvent;
    /// As in attempt_metadata. With a value, the other node is not shown the caller's key.
    std::optional<base::account_id> account{};
};

/// A header field of an answer.
struct attempt_field {
    std::string name;
    std::string value;
};

/// What the header of an endpoint's answer says about the request that was sent.
enum class answer_disposition {
    /// A valid answer, which is forwarded to the caller unchanged.
    forwardToCaller,
    /// The endpoint is overloaded and did not run the request.
    notExecutedOverloaded,
    /// Another process has the address, or the endpoint does not hold the model; the request was not run.
    notExecutedMisdirected,
    /// The endpoint rejected the request as invalid and did not run it.
    notExecutedRejected,
    /// The answer belongs to another request.
    mismatched,
    /// The answer lacks the endpoint's response seal or is otherwise invalid.
    invalid,
};

/// Translates requests and answers between the formats of callers, this system and endpoints.
class request_codec
{
public:
    virtual ~request_codec() = default;

    /// No value, with @p why set, when the request lacks a required field.
    virtual std::optional<caller_request> read(const net::http_request &request, base::reason &why) const = 0;
    /// The request to send to an endpoint; @p request is the caller's.
    virtual net::http_request forEndpoint(const net::http_request &request, const attempt_metadata &terms) const = 0;
    virtual net::http_request forHelper(const net::http_request &request, const relay_metadata &metadata) const = 0;
    /// Whether another node has passed the request on.
    virtual bool isRelayed(const net::http_request &request) const = 0;
    /// The field, with its value, by which an answer to the request names its attempt.
    virtual attempt_field attemptField(const net::http_request &request) const = 0;
    /// Whether the answer names @p attempt as the one that it belongs to.
    virtual bool namesAttempt(const net::http::response_header<> &answer, const std::string &attempt) const = 0;
    /// @p attempt is the attempt ID of the request that was sent. An answer that names no attempt may be that to another request, and is invalid.
    virtual answer_disposition classifyAnswer(const net::http::response_header<> &answer, const std::string &attempt) const = 0;
    /// What the endpoint says of itself in the header of an answer. Fields that cannot be read count as absent.
    virtual routing::endpoint_notice readNotice(const net::http::response_header<> &answer) const = 0;
};

} // namespace chervilbend::fleet
