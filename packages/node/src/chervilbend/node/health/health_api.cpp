#include <chervilbend/node/health/health_api.hpp>

#include <chervilbend/base/metric_registry.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/problem_answer.hpp>
#include <chervilbend/node/health/readiness.hpp>

#include <string>
#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace chervilbend::node
{

namespace
{

net::http_response textResponse(std::string body, const char *type = "text/plain; charset=utf-8")
{
    net::http_response response(http::status::ok, 11);
    response.set(http::field::content_type, type);
    response.body() = std::move(body);
    return response;
}

std::string missingConditionsText(const readiness &ready)
{
    return ready.missing().empty() ? std::string() : "not ready yet: " + ready.missingText();
}

net::http_response readinessResponse(const readiness &ready)
{
    if (ready.isReady()) {
        return textResponse("ready\n");
    }
    if (ready.isShuttingDown()) {
        return problemAnswer({base::error_kind::shuttingDown, "the node is shutting down; send requests to another node"});
    }
    return problemAnswer({base::error_kind::noEndpoint, missingConditionsText(ready)});
}

/// Until the configuration has been read, the node cannot tell whether a route or model exists, and a repeated order may already have been
/// executed through another node: its outcome is reported as unknown unless this is the first attempt.
net::http_response notReadyResponse(const readiness &ready, const net::http_request &request)
{
    const auto target = request.target();
    const bool isCompletion = std::string_view(target.data(), target.size()).starts_with("/v1/");
    const bool isFirstAttempt = request["Idempotency-Attempt"] == "1";
    const base::reason why{base::error_kind::noEndpoint, missingConditionsText(ready)};
    return problemAnswer(why, isCompletion || isFirstAttempt ? base::run_state::notRun : base::run_state::unknown);
}

} // namespace

health_api::health_api(const readiness &ready, const base::metric_registry &metrics, net::http_handler &next)
    : m_readiness(ready)
    , m_metrics(metrics)
    , m_next(next)
{
}

asio::awaitable<void> health_api::handle(std::shared_ptr<net::http_exchange> exchange)
{
    const http::verb method = exchange->request().method();
    const auto target = exchange->request().target();
    net::http_response response;
    const bool isReadMethod = method == http::verb::get || method == http::verb::head;
    if (isReadMethod && target == "/healthz") {
        response = textResponse("ok\n");
    } else if (isReadMethod && target == "/readyz") {
        response = readinessResponse(m_readiness);
    } else if (isReadMethod && target == "/metrics") {
        response = textResponse(m_metrics.text(), "text/plain; version=0.0.4; charset=utf-8");
    } else if (!m_readiness.missing().empty()) {
        response = notReadyResponse(m_readiness, exchange->request());
    } else {
        co_await m_next.handle(exchange);
        co_return;
    }
    co_await exchange->respond(std::move(response));
}

} // namespace chervilbend::node
