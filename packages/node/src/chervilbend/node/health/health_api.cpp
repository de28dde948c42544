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

net::http_response text(std::string body, const char *type = "text/plain; charset=utf-8")
{
    net::http_response response(http::status::ok, 11);
    response.set(http::field::content_type, type);
    response.body() = std::move(body);
    return response;
}

std::string missingText(const readiness &ready)
{
    std::string missing;
    for (const std::string &condition : ready.missing()) {
        missing.append(missing.empty() ? "not ready yet: " : ", ").append(condition);
    }
    return missing;
}

net::http_response readinessAnswer(const readiness &ready)
{
    if (ready.isReady()) {
        return text("ready\n");
    }
    if (ready.isShuttingDown()) {
        return problemAnswer({base::error_kind::shuttingDown, "the node takes no new callers"});
    }
    return problemAnswer({base::error_kind::noEndpoint, missingText(ready)});
}

/// Before the configuration is read, no route or model can be said not to exist, and an order may have run through another node.
net::http_response notStartedAnswer(const readiness &ready, const net::http_request &request)
{
    const auto target = request.target();
    const bool isCompletion = std::string_view(target.data(), target.size()).starts_with("/v1/");
    const bool isFirst = request["Idempotency-Attempt"] == "1";
    const base::reason why{base::error_kind::noEndpoint, missingText(ready)};
    return problemAnswer(why, isCompletion || isFirst ? base::run_state::notRun : base::run_state::unknown);
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
    const bool isRead = method == http::verb::get || method == http::verb::head;
    if (isRead && target == "/healthz") {
        response = text("ok\n");
    } else if (isRead && target == "/readyz") {
        response = readinessAnswer(m_readiness);
    } else if (isRead && target == "/metrics") {
        response = text(m_metrics.text(), "text/plain; version=0.0.4; charset=utf-8");
    } else if (!m_readiness.missing().empty()) {
        response = notStartedAnswer(m_readiness, exchange->request());
    } else {
        co_await m_next.handle(exchange);
        co_return;
    }
    co_await exchange->respond(std::move(response));
}

} // namespace chervilbend::node
