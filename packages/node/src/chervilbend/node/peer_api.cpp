#include <chervilbend/node/peer_api.hpp>

#include <chervilbend/fleet/request_codec.hpp>
#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/node/callers/problem_answer.hpp>
#include <chervilbend/node/callers/route_api.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::node
{

peer_api::peer_api(const fleet::request_codec &codec, net::http_handler &calls, route_api &routes, std::function<bool()> canHelp)
    : m_codec(codec)
    , m_calls(calls)
    , m_routes(routes)
    , m_canHelp(std::move(canHelp))
{
}

asio::awaitable<void> peer_api::handle(std::shared_ptr<net::http_exchange> exchange)
{
    if (!m_codec.isRelayed(exchange->request())) {
        co_await m_calls.handle(std::move(exchange));
        co_return;
    }
    // The other node believes a refusal only if it says which request it belongs to.
    const fleet::attempt_field attempt = m_codec.attemptField(exchange->request());
    exchange->setDefaultField(attempt.name, attempt.value);
    if (m_canHelp()) {
        co_await m_routes.handleRelayed(std::move(exchange));
    } else {
        const base::reason why{base::error_kind::noEndpoint, "this node reaches no endpoint itself, or is stopping"};
        co_await exchange->respond(problemAnswer(why));
    }
}

} // namespace chervilbend::node
