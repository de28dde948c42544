#pragma once

#include <chervilbend/node/callers/endpoint_protocol.hpp>

namespace chervilbend::node
{

/// Protocol of endpoints on the platform, as defined by fleet::request_codec.
class platform_protocol : public endpoint_protocol
{
public:
    /// @p codec must outlive this object.
    explicit platform_protocol(const fleet::request_codec &codec);

    net::http_request prepare(const net::http_request &request, const forwarding_plan &plan, const attempt_terms &terms) const override;
    bool namesAttempt(const net::http::response_header<> &answer, const forwarding_plan &plan) const override;
    fleet::answer_disposition classify(const net::http::response_header<> &answer, const forwarding_plan &plan) const override;
    routing::endpoint_notice readNotice(const net::http::response_header<> &answer) const override;

private:
    const fleet::request_codec &m_codec;
};

} // namespace chervilbend::node
