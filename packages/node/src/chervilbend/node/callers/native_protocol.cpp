#include <chervilbend/node/callers/native_protocol.hpp>

#include <chervilbend/node/callers/forwarding_plan.hpp>
#include <chervilbend/node/callers/message_headers.hpp>

namespace http = boost::beast::http;

namespace chervilbend::node
{

net::http_request native_protocol::prepare(const net::http_request &request, const forwarding_plan &plan, const attempt_terms & /*terms*/) const
{
    return requestForEndpoint(request, plan);
}

fleet::answer_disposition native_protocol::classify(const http::response_header<> &answer, const forwarding_plan &plan) const
{
    // Plain services also use 429 for their own rate limits per account. Other instances would respond alike, so only engines are retried.
    const http::status status = answer.result();
    if (status == http::status::service_unavailable || (plan.inference && status == http::status::too_many_requests)) {
        return fleet::answer_disposition::notExecutedOverloaded;
    }
    // An engine responds 404 if the model is not loaded (docs/wire.md), for example because it has been restarted since its last report.
    if (plan.inference && status == http::status::not_found) {
        return fleet::answer_disposition::notExecutedMisdirected;
    }
    return fleet::answer_disposition::forwardToCaller;
}

} // namespace chervilbend::node
