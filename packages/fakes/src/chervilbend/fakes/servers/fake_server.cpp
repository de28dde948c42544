#include <chervilbend/fakes/servers/fake_server.hpp>

#include <chervilbend/net/http_exchange.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace chervilbend::fakes
{

asio::awaitable<void> fake_server::handle(std::shared_ptr<net::http_exchange> exchange)
{
    const request_target target({exchange->request().target().data(), exchange->request().target().size()});
    if (target.path() == "/control") {
        co_await serveControl(exchange);
    } else {
        co_await serve(exchange, target);
    }
}

asio::awaitable<void> fake_server::respond(std::shared_ptr<net::http_exchange> exchange, http::status status, json::object body)
{
    net::http_response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = json::serialize(body) + '\n';
    co_await exchange->respond(std::move(response));
}

asio::awaitable<void> fake_server::respondError(std::shared_ptr<net::http_exchange> exchange, http::status status, std::string detail)
{
    json::object body{{"detail", detail}};
    co_await respond(std::move(exchange), status, std::move(body));
}

std::optional<json::object> fake_server::parseBody(const net::http_request &request)
{
    json::error_code error;
    json::value parsed = json::parse(request.body(), error);
    if (error || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.get_object());
}

asio::awaitable<void> fake_server::serveControl(std::shared_ptr<net::http_exchange> exchange)
{
    if (exchange->request().method() == http::verb::post) {
        const std::optional<json::object> values = parseBody(exchange->request());
        const std::string problem = values ? m_faultRegistry.apply(*values) : "the body is not a JSON object";
        if (!problem.empty()) {
            co_await respondError(exchange, http::status::bad_request, problem);
            co_return;
        }
    }
    co_await respond(exchange, http::status::ok, m_faultRegistry.currentValues());
}

} // namespace chervilbend::fakes
