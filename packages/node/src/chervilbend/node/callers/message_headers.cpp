#include <chervilbend/node/callers/message_headers.hpp>

#include <chervilbend/config/work_class_name.hpp>
#include <chervilbend/net/forwarded_fields.hpp>
#include <chervilbend/node/callers/forwarding_plan.hpp>
#include <chervilbend/node/callers/request_attributes.hpp>

#include <algorithm>
#include <string>

namespace http = boost::beast::http;

namespace chervilbend::node
{

net::http_request requestForEndpoint(const net::http_request &request, const forwarding_plan &plan)
{
    net::http_request forwarded(request.method(), request.target(), 11);
    if (request.method() == http::verb::unknown) {
        forwarded.method_string(request.method_string());
    }
    net::copyForwardedFields(request, forwarded);
    const std::string_view urgency = config::nameOf(plan.facts.urgency);
    const base::milliseconds remaining = plan.timeLeft();
    forwarded.set("X-Account", plan.facts.account.value());
    forwarded.set("X-Priority", boost::beast::string_view(urgency.data(), urgency.size()));
    forwarded.set("X-Deadline-Ms", std::to_string(remaining.count()));
    if (!plan.idempotencyKey.empty()) {
        forwarded.set("Idempotency-Key", plan.idempotencyKey);
    }
    forwarded.body() = request.body();
    return forwarded;
}

void copyResponseFields(const http::fields &from, http::fields &to)
{
    net::copyForwardedFields(from, to);
}

} // namespace chervilbend::node
