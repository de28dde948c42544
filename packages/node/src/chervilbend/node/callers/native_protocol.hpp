#pragma once

#include <chervilbend/node/callers/endpoint_protocol.hpp>

namespace chervilbend::node
{

/// The native protocol of engines and plain services (docs/wire.md).
class native_protocol : public endpoint_protocol
{
public:
    net::http_request prepare(const net::http_request &request, const forwarding_plan &plan, const attempt_terms &terms) const override;
    fleet::answer_disposition classify(const net::http::response_header<> &answer, const forwarding_plan &plan) const override;
};

} // namespace chervilbend::node
