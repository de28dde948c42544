#include <chervilbend/fakes/servers/store_server.hpp>

#include <chervilbend/external/http/weight_store_status_json.hpp>
#include <chervilbend/net/http_exchange.hpp>

#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace chervilbend::fakes
{

store_server::store_server(external::weight_store_status limits, std::uint64_t seed)
    : m_model(limits, seed)
{
    m_faultRegistry.addFlag("outage", m_outage);
    m_faultRegistry.addFactor("slowness", m_slowness);
    m_faultRegistry.onChange([this] { m_model.setSlowness(m_slowness); });
}

asio::awaitable<void> store_server::serve(std::shared_ptr<net::http_exchange> exchange, request_target target)
{
    if (m_outage) {
        co_await respondError(exchange, http::status::service_unavailable, "the weight store is unavailable");
    } else if (target.path() == "/status") {
        co_await respond(exchange, http::status::ok, external::toJson(m_model.status()));
    } else if (target.path() == "/loads" && exchange->request().method() == http::verb::post) {
        co_await beginLoad(exchange);
    } else {
        co_await respondError(exchange, http::status::not_found, "unknown path or method; only GET /status and POST /loads exist");
    }
}

asio::awaitable<void> store_server::beginLoad(std::shared_ptr<net::http_exchange> exchange)
{
    const std::optional<json::object> body = parseBody(exchange->request());
    const json::value *const kind = body ? body->if_contains("kind") : nullptr;
    if (!kind || (*kind != "model" && *kind != "adapter")) {
        co_await respondError(exchange, http::status::bad_request, "\"kind\" is neither \"model\" nor \"adapter\"");
        co_return;
    }
    const base::milliseconds duration = *kind == "model" ? m_model.beginModelLoad() : m_model.beginAdapterLoad();
    json::object response{{"durationMs", duration.count()}};
    co_await respond(exchange, http::status::ok, std::move(response));
}

} // namespace chervilbend::fakes
