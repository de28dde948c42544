#include <chervilbend/node/callers/platform_protocol.hpp>

#include <chervilbend/node/callers/forwarding_plan.hpp>

namespace chervilbend::node
{

platform_protocol::platform_protocol(const fleet::request_codec &codec)
    : m_codec(codec)
{
}

net::http_request platform_protocol::prepare(const net::http_request &request, const forwarding_plan &plan, const attempt_terms &terms) const
{
    fleet::attempt_metadata metadata;
    metadata.remaining = plan.timeLeft();
    metadata.instance = terms.endpoint;
    metadata.urgency = plan.urgency;
    metadata.lastEvent = terms.lastEvent;
    metadata.account = plan.account;
    return m_codec.forEndpoint(request, metadata);
}

bool platform_protocol::namesAttempt(const net::http::response_header<> &answer, const forwarding_plan &plan) const
{
    return m_codec.namesAttempt(answer, plan.attemptId);
}

fleet::answer_disposition platform_protocol::classify(const net::http::response_header<> &answer, const forwarding_plan &plan) const
{
    return m_codec.classifyAnswer(answer, plan.attemptId);
}

routing::endpoint_notice platform_protocol::readNotice(const net::http::response_header<> &answer) const
{
    return m_codec.readNotice(answer);
}

} // namespace chervilbend::node
