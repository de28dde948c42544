#pragma once

#include <chervilbend/node/callers/endpoint_dialect.hpp>

namespace chervilbend::node
{

/// Endpoints that are reached through the platform's wire.
class wire_dialect : public endpoint_dialect
{
public:
    /// @p wire must outlive the object.
    explicit wire_dialect(const fleet::request_codec &wire);

    net::http_request prepare(const net::http_request &request,
                              const forwarding_plan &plan,
                              const base::endpoint_id &endpoint,
                              std::optional<std::int64_t> lastEvent) const override;
    fleet::answer_disposition judge(const net::http::response_header<> &answer, const forwarding_plan &plan) const override;

private:
    const fleet::request_codec &m_wire;
};

} // namespace chervilbend::node
