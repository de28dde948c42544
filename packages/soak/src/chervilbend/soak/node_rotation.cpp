#include <chervilbend/soak/node_rotation.hpp>

#include <chervilbend/net/http_client.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::soak
{

namespace
{
constexpr base::milliseconds askInterval{1'000};
constexpr base::milliseconds answerTimeout{800};
constexpr int missesUntilOut = 2;
} // namespace

node_rotation::node_rotation(const std::vector<std::uint16_t> &readyPorts, answer_listener listener)
    : m_listener(std::move(listener))
{
    for (const std::uint16_t port : readyPorts) {
        m_nodes.push_back({port, missesUntilOut});
    }
}

asio::awaitable<void> node_rotation::run()
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    while (true) {
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            asio::co_spawn(executor, ask(node), asio::detached);
        }
        co_await net::sleepFor(askInterval);
    }
}

asio::awaitable<void> node_rotation::ask(std::size_t node)
{
    const base::time_point askedAt = base::clock::now();
    net::http_client client;
    net::http_send_options options;
    options.answerTimeout = answerTimeout;
    options.connectTimeout = answerTimeout;
    net::http_request request(net::http::verb::get, "/api/readiness", 11);
    // A variable, because g++ 12 destroys an aggregate that is a temporary argument of an awaited call twice.
    const net::address address{"127.0.0.1", m_nodes[node].port};
    const std::optional<net::http_response> answer = co_await client.send(address, std::move(request), options);
    const bool isReady = answer && answer->result() == net::http::status::ok;
    m_nodes[node].misses = isReady ? 0 : m_nodes[node].misses + 1;
    m_listener(node, askedAt, isReady);
}

std::size_t node_rotation::choose(std::uint64_t hash) const
{
    std::vector<std::size_t> ready;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (m_nodes[node].misses < missesUntilOut) {
            ready.push_back(node);
        }
    }
    return 2 * ready.size() < m_nodes.size() ? hash % m_nodes.size() : ready[hash % ready.size()];
}

bool node_rotation::isReady(std::size_t node) const
{
    return m_nodes[node].misses == 0;
}

bool node_rotation::areAllReady() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [](const node_state &node) { return node.misses == 0; });
}

} // namespace chervilbend::soak
