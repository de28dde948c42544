#include <chervilbend/load/balancer.hpp>

#include <chervilbend/net/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace chervilbend::load
{

namespace
{
/// Shorter than the balancerWait setting of the nodes under test, which is the time that they give a load balancer to notice a change
/// of their readiness.
constexpr base::milliseconds pollInterval{200};
constexpr base::milliseconds pollTimeout{400};
} // namespace

balancer::balancer(std::vector<net::address> nodes, fakes::seeded_random &random)
    : m_nodes(std::move(nodes))
    , m_notReady(m_nodes.size(), false)
    , m_random(random)
{
}

void balancer::start(const asio::any_io_executor &executor, base::time_point end)
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        asio::co_spawn(executor, pollReadiness(index, end), asio::detached);
    }
}

net::address balancer::pick(const std::optional<net::address> &last)
{
    std::vector<net::address> candidates;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (!m_notReady[index] && m_nodes[index] != last) {
            candidates.push_back(m_nodes[index]);
        }
    }
    const std::vector<net::address> &eligible = candidates.empty() ? m_nodes : candidates;
    return eligible[static_cast<std::size_t>(m_random.between(0, static_cast<std::int64_t>(eligible.size()) - 1))];
}

asio::awaitable<void> balancer::pollReadiness(std::size_t index, base::time_point end)
{
    net::http_send_options options;
    options.connectTimeout = pollTimeout;
    options.answerTimeout = pollTimeout;
    options.freshConnection = true;
    while (base::clock::now() < end) {
        net::http_request request(http::verb::get, "/readyz", 11);
        const std::optional<net::http_response> response = co_await m_client.send(m_nodes[index], std::move(request), options);
        m_notReady[index] = response && response->result() != http::status::ok;
        co_await net::sleepFor(pollInterval);
    }
}

} // namespace chervilbend::load
