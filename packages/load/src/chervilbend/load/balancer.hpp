#pragma once

#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace chervilbend::load
{

/// Stands in for the platform's load balancer: sends to any node but those whose readiness page says that they are not ready. A node that
/// does not answer at all stays in use, so that callers meet dead and paused nodes.
class balancer
{
public:
    balancer(std::vector<net::address> nodes, fakes::seeded_random &random);

    /// Reads the readiness of all nodes, each in a task of its own, until @p end.
    void start(const boost::asio::any_io_executor &executor, base::time_point end);

    /// A node at random, another one than @p last if there is one.
    net::address pick(const std::optional<net::address> &last);

private:
    boost::asio::awaitable<void> watch(std::size_t index, base::time_point end);

    std::vector<net::address> m_nodes;
    std::vector<bool> m_out;
    fakes::seeded_random &m_random;
    net::http_client m_client;
};

} // namespace chervilbend::load
