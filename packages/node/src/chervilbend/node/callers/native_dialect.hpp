#pragma once

#include <chervilbend/node/callers/endpoint_dialect.hpp>

namespace chervilbend::node
{

/// Endpoints that speak the product's own interface (docs/wire.md).
class native_dialect : public endpoint_dialect
{
public:
    net::http_request prepare(const net::http_request &request,
                              const forwarding_plan &plan,
                              const base::endpoint_id &endpoint,
                              std::optional<std::int64_t> lastEvent) const override;
    fleet::answer_disposition judge(const net::http::response_header<> &answer, const forwarding_plan &plan) const override;
};

} // namespace chervilbend::node
