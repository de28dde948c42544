#include <chervilbend/node/callers/message_headers.hpp>

#include <chervilbend/config/work_class_name.hpp>
#include <chervilbend/node/callers/caller_terms.hpp>
#include <chervilbend/node/callers/forwarding_plan.hpp>

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <string>

namespace http = boost::beast::http;

namespace chervilbend::node
{

namespace
{

/// Fields that concern one connection (RFC 9110, section 7.6.1), and those that the HTTP client or server sets itself.
bool isHopByHop(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::proxy_connection:
    case http::field::keep_alive:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::host:
    case http::field::content_length:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
        return true;
    default:
        return false;
    }
}

void copyFields(const http::fields &from, http::fields &to)
{
    const auto connection = from.find(http::field::connection);
    const bool namesOthers =
        connection != from.end() && !boost::beast::iequals(connection->value(), "close") && !boost::beast::iequals(connection->value(), "keep-alive");
    for (const auto &field : from) {
        if (isHopByHop(field.name())) {
            continue;
        }
        if (namesOthers && http::token_list(connection->value()).exists(field.name_string())) {
            continue;
        }
        to.insert(field.name(), field.name_string(), field.value());
    }
}

} // namespace

net::http_request requestForEndpoint(const net::http_request &request, const forwarding_plan &plan)
{
    net::http_request forwarded(request.method(), request.target(), 11);
    if (request.method() == http::verb::unknown) {
        forwarded.method_string(request.method_string());
    }
    copyFields(request, forwarded);
    const std::string_view urgency = config::nameOf(plan.facts.urgency);
    const base::milliseconds remaining = std::max(plan.facts.deadline - base::clock::now(), base::milliseconds(1));
    forwarded.set("X-Account", plan.facts.account.value());
    forwarded.set("X-Priority", boost::beast::string_view(urgency.data(), urgency.size()));
    forwarded.set("X-Deadline-Ms", std::to_string(remaining.count()));
    if (!plan.idempotencyKey.empty()) {
        forwarded.set("Idempotency-Key", plan.idempotencyKey);
    }
    forwarded.body() = request.body();
    return forwarded;
}

void copyAnswerFields(const http::fields &from, http::fields &to)
{
    copyFields(from, to);
}

} // namespace chervilbend::node
