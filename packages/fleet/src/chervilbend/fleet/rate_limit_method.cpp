#include <chervilbend/fleet/rate_limit_method.hpp>

#include <chervilbend/fleet/rate_limit_exchange.hpp>
#include <chervilbend/fleet/rate_limit_json.hpp>

namespace chervilbend::fleet
{

rate_limit_method::rate_limit_method(rate_limit_exchange &exchange)
    : m_exchange(exchange)
{
}

std::string rate_limit_method::name() const
{
    return rateLimitMethodName;
}

std::optional<Json::Value> rate_limit_method::call(const Json::Value &parameters)
{
    const std::optional<routing::rate_limit_report> report = readRateLimitReport(parameters);
    if (!report) {
        return fail(base::error_kind::badRequest, "invalid report of rate limits: a member is missing or has the wrong type");
    }
    return toJson(m_exchange.answer(*report));
}

} // namespace chervilbend::fleet
