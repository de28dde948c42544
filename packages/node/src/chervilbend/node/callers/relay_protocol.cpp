#include <chervilbend/node/callers/relay_protocol.hpp>

#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/node/callers/forwarding_plan.hpp>
#include <chervilbend/node/callers/message_headers.hpp>

#include <string_view>

namespace chervilbend::node
{

relay_protocol::relay_protocol(const fleet::request_codec &codec)
    : m_codec(codec)
{
}

net::http_request relay_protocol::prepare(const net::http_request &request, const forwarding_plan &plan, const attempt_terms &terms) const
{
    fleet::relay_metadata metadata;
    metadata.remaining = plan.timeLeft();
    metadata.attemptsUsed = terms.attemptsUsed;
    metadata.softwareVersion = terms.softwareVersion;
    metadata.lastEvent = terms.lastEvent;
    metadata.account = plan.account;
    return m_codec.forHelper(request, metadata);
}

bool relay_protocol::namesAttempt(const net::http::response_header<> &answer, const forwarding_plan &plan) const
{
    return m_codec.namesAttempt(answer, plan.attemptId);
}

fleet::answer_disposition relay_protocol::classify(const net::http::response_header<> &answer, const forwarding_plan &plan) const
{
    const auto state = answer[runStateField];
    const fleet::answer_disposition ofEndpoint = m_codec.classifyAnswer(answer, plan.attemptId);
    const bool claimsNotRun = std::string_view(state.data(), state.size()) == base::toString(base::run_state::notRun);
    if (ofEndpoint == fleet::answer_disposition::invalid && claimsNotRun && namesAttempt(answer, plan)) {
        return fleet::answer_disposition::notExecutedOverloaded;
    }
    return ofEndpoint;
}

} // namespace chervilbend::node
