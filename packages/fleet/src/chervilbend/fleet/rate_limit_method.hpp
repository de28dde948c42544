#pragma once

#include <chervilbend/peers/rpc_method.hpp>

namespace chervilbend::fleet
{

class rate_limit_exchange;

inline constexpr const char *rateLimitMethodName = "limits.exchange";

/// Answers another node's report of its demand for endpoints with a rate limit. Any node answers it, so that grants go on while the store is unavailable.
class rate_limit_method : public peers::rpc_method
{
public:
    explicit rate_limit_method(rate_limit_exchange &exchange);

    std::string name() const override;
    std::optional<Json::Value> call(const Json::Value &parameters) override;

private:
    rate_limit_exchange &m_exchange;
};

} // namespace chervilbend::fleet
