#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/request_codec.hpp>
#include <chervilbend/net/http_types.hpp>

#include <cstdint>
#include <optional>

namespace chervilbend::node
{

struct forwarding_plan;

/// What one attempt to serve a request needs beyond the plan.
struct attempt_terms {
    base::endpoint_id endpoint;
    /// Id of the last stream event that the caller has received.
    std::optional<std::int64_t> lastEvent;
    /// Earlier attempts that may have run the request.
    int attemptsUsed = 0;
    /// The version that began the stream; empty if it has not begun.
    base::software_version softwareVersion;
};

/// Builds requests for one kind of endpoint and classifies the responses.
class endpoint_protocol
{
public:
    virtual ~endpoint_protocol() = default;

    /// Builds the request of an attempt; @p request is the caller's.
    virtual net::http_request prepare(const net::http_request &request, const forwarding_plan &plan, const attempt_terms &terms) const = 0;

    virtual fleet::answer_disposition classify(const net::http::response_header<> &answer, const forwarding_plan &plan) const = 0;

    /// Whether the answer names the attempt that it belongs to, and it is the one of the plan.
    virtual bool namesAttempt(const net::http::response_header<> & /*answer*/, const forwarding_plan & /*plan*/) const
    {
        return false;
    }

    /// What the endpoint says of itself in the header of an answer.
    virtual routing::endpoint_notice readNotice(const net::http::response_header<> & /*answer*/) const
    {
        return {};
    }
};

} // namespace chervilbend::node
