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

net::http_response readinessAnswer(const readiness &ready)
{
    if (ready.isReady()) {
        return text("ready\n");
    }
    if (ready.isShuttingDown()) {
        return problemAnswer({base::error_kind::shuttingDown, "the node takes no new callers"});
    }
    std::string missing;
    for (const std::string &condition : ready.missing()) {
        missing.append(missing.empty() ? "not ready yet: " : ", ").append(condition);
    }
    return problemAnswer({base::error_kind::noEndpoint, missing});
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
    if (method != http::verb::get && method != http::verb::head) {
        co_await m_next.handle(exchange);
        co_return;
    }
    if (target == "/healthz") {
        response = text("ok\n");
    } else if (target == "/readyz") {
        response = readinessAnswer(m_readiness);
    } else if (target == "/metrics") {
        response = text(m_metrics.text(), "text/plain; version=0.0.4; charset=utf-8");
    } else {
        co_await m_next.handle(exchange);
        co_return;
    }
    co_await exchange->respond(std::move(response));
}

} // namespace chervilbend::node
