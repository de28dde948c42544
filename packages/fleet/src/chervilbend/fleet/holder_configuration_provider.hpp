#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/configuration_provider.hpp>

namespace chervilbend::peers
{
class rpc_caller;
}

namespace chervilbend::fleet
{

class command_lease;

/// Gets the configuration from the holder of the command lease, or from its last holder when its term has ended.
class holder_configuration_provider : public configuration_provider
{
public:
    /// @p lease and @p peers must outlive the provider. @p node is this node.
    holder_configuration_provider(base::node_id node, const command_lease &lease, peers::rpc_caller &peers);

    boost::asio::awaitable<std::optional<remote_configuration>> newerThan(std::optional<std::int64_t> version) override;

private:
    base::node_id m_node;
    const command_lease &m_lease;
    peers::rpc_caller &m_peers;
};

} // namespace chervilbend::fleet
