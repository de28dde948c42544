#pragma once

#include <chervilbend/base/clock.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace chervilbend::soak
{

/// Which nodes receive new connections: asks each once a second whether it is ready, and takes it out after two misses, as the platform does.
class node_rotation
{
public:
    /// Receives the number of a node, when it was asked, and whether it has answered that it is ready.
    using answer_listener = std::function<void(std::size_t, base::time_point, bool)>;

    node_rotation(const std::vector<std::uint16_t> &readyPorts, answer_listener listener);

    /// Asks the nodes until the task ends.
    boost::asio::awaitable<void> run();

    /// The node for a new connection; @p hash selects it.
    std::size_t choose(std::uint64_t hash) const;
    bool areAllReady() const;
    bool isReady(std::size_t node) const;

private:
    struct node_state {
        std::uint16_t port = 0;
        int misses = 2;
    };

    boost::asio::awaitable<void> ask(std::size_t node);

    std::vector<node_state> m_nodes;
    answer_listener m_listener;
};

} // namespace chervilbend::soak
