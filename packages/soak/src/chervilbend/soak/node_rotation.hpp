#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chervilbend::soak
{

/// Which nodes receive new connections: asks each once a second whether it is ready, and takes it out after two misses, as the platform does.
class node_rotation
{
public:
    explicit node_rotation(const std::vector<std::uint16_t> &readyPorts);

    /// Asks the nodes until the task ends.
    boost::asio::awaitable<void> run();

    /// The node for a new connection; @p hash selects it.
    std::size_t choose(std::uint64_t hash) const;
    bool areAllReady() const;

private:
    struct node_state {
        std::uint16_t port = 0;
        int misses = 2;
    };

    boost::asio::awaitable<void> ask(std::size_t node);

    std::vector<node_state> m_nodes;
};

} // namespace chervilbend::soak
