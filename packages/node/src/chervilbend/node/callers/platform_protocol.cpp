#include <chervilbend/node/callers/platform_protocol.hpp>

#include <chervilbend/node/callers/forwarding_plan.hpp>

#include <algorithm>

namespace chervilbend::node
{

platform_protocol::platform_protocol(const fleet::request_codec &codec)
    : m_codec(codec)
{
}

net::http_request platform_protocol::prepare(const net::http_request &request,
                                             const forwarding_plan &plan,
                                             const base::endpoint_id &endpoint,
                                             std::optional<std::int64_t> lastEvent) const
{
    fleet::attempt_metadata terms;
    terms.remaining = std::max(plan.facts.deadline - base::clock::now(), base::milliseconds(1));
    terms.instance = endpoint;
    terms.urgency = plan.urgency;
    terms.lastEvent = lastEvent;
    return m_codec.forEndpoint(request, terms);
}

fleet::answer_disposition platform_protocol::classify(const net::http::response_header<> &answer, const forwarding_plan &plan, bool isOnlyAnswer) const
{
    return m_codec.classifyAnswer(answer, plan.attemptId, isOnlyAnswer);
}

routing::endpoint_notice platform_protocol::readNotice(const net::http::response_header<> &answer) const
{
    return m_codec.readNotice(answer);
}

} // namespace chervilbend::node
