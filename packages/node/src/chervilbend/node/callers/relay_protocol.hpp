#pragma once

#include <chervilbend/node/callers/endpoint_protocol.hpp>

namespace chervilbend::node
{

/// Builds requests to another node that serves them for this one, and classifies its answers: its own refusals say whether the request ran, and
/// count if they name its attempt; all other answers are those of an endpoint.
class relay_protocol : public endpoint_protocol
{
public:
    /// @p codec must outlive the object.
    explicit relay_protocol(const fleet::request_codec &codec);

    net::http_request prepare(const net::http_request &request, const forwarding_plan &plan, const attempt_terms &terms) const override;
    bool namesAttempt(const net::http::response_header<> &answer, const forwarding_plan &plan) const override;
    fleet::answer_disposition classify(const net::http::response_header<> &answer, const forwarding_plan &plan) const override;

private:
    const fleet::request_codec &m_codec;
};

} // namespace chervilbend::node
