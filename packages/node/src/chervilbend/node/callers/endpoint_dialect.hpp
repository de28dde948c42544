#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/request_codec.hpp>
#include <chervilbend/net/http_types.hpp>

#include <cstdint>
#include <optional>

namespace chervilbend::node
{

struct forwarding_plan;

/// How requests to endpoints and their answers are spelled, for one kind of endpoint.
class endpoint_dialect
{
public:
    virtual ~endpoint_dialect() = default;

    /// The request as @p endpoint gets it. @p lastEvent is the last event of a stream that the caller has already.
    virtual net::http_request prepare(const net::http_request &request,
                                      const forwarding_plan &plan,
                                      const base::endpoint_id &endpoint,
                                      std::optional<std::int64_t> lastEvent) const = 0;

    virtual fleet::answer_disposition judge(const net::http::response_header<> &answer, const forwarding_plan &plan) const = 0;
};

} // namespace chervilbend::node
