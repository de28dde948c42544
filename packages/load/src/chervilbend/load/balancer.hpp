#pragma once

#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace chervilbend::load
{

/// Simulates the platform's load balancer: selects any node except those that report that they are not ready. A node that does not
/// respond at all stays in use, so that requests are also sent to dead and paused nodes.
class balancer
{
public:
    balancer(std::vector<net::address> nodes, fakes::seeded_random &random);

    /// Polls the readiness of all nodes, each in its own coroutine, until @p end.
    void start(const boost::asio::any_io_executor &executor, base::time_point end);

    /// A random node; if possible not @p last.
    net::address pick(const std::optional<net::address> &last);

private:
    boost::asio::awaitable<void> pollReadiness(std::size_t index, base::time_point end);

    std::vector<net::address> m_nodes;
    std::vector<bool> m_notReady;
    fakes::seeded_random &m_random;
    net::http_client m_client;
};

} // namespace chervilbend::load
