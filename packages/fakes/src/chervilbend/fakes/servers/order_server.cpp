#include <chervilbend/fakes/servers/order_server.hpp>

#include <chervilbend/net/http_exchange.hpp>
#include <chervilbend/net/sleep.hpp>

#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace chervilbend::fakes
{

order_server::order_server(std::string service, std::uint64_t seed)
    : m_service(std::move(service))
    , m_random(seed)
{
    m_faultRegistry.addFlag("outage", m_outage);
    m_faultRegistry.addTime("delayMs", m_delay);
    m_faultRegistry.addShare("lostAnswers", m_lostAnswers);
}

asio::awaitable<void> order_server::serve(std::shared_ptr<net::http_exchange> exchange, request_target target)
{
    if (target.path() == "/runs") {
        co_await respond(exchange, http::status::ok, runsToJson());
    } else if (m_outage) {
        co_await respondError(exchange, http::status::service_unavailable, "the service is unavailable");
    } else if (exchange->request().method() == http::verb::post) {
        co_await runOrder(exchange);
    } else {
        json::object body{{"service", m_service}, {"path", target.path()}};
        co_await respond(exchange, http::status::ok, std::move(body));
    }
}

asio::awaitable<void> order_server::runOrder(std::shared_ptr<net::http_exchange> exchange)
{
    const auto header = exchange->request()["Idempotency-Key"];
    std::string key(header.data(), header.size());
    if (key.empty()) {
        key = "without key " + std::to_string(++m_ordersWithoutKey);
    }
    // Counted before the delay: an order is executed even when its caller closes the connection.
    const std::int64_t run = m_store.run(key);
    if (m_delay.count() > 0) {
        co_await net::sleepFor(m_delay);
    }
    if (m_random.chance(m_lostAnswers)) {
        co_return;
    }
    json::object body{{"service", m_service}, {"key", key}, {"run", run}};
    co_await respond(exchange, http::status::ok, std::move(body));
}

json::object order_server::runsToJson() const
{
    json::object runs;
    std::int64_t total = 0;
    for (const auto &[key, count] : m_store.runs()) {
        runs[key] = count;
        total += count;
    }
    return {{"total", total}, {"duplicates", m_store.duplicates()}, {"runs", std::move(runs)}};
}

} // namespace chervilbend::fakes
