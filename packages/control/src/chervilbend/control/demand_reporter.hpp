#pragma once

#include <chervilbend/control/demand_source.hpp>
#include <chervilbend/membership/demand_tree.hpp>
#include <chervilbend/membership/member_table.hpp>
#include <chervilbend/peers/rpc_caller.hpp>
#include <chervilbend/peers/rpc_method.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace chervilbend::control
{

/// Sends this node's aggregated demand to its parent in the demand tree and receives that of its children. All references must outlive the tasks.
class demand_reporter
{
public:
    demand_reporter(const state::replicated_state &state,
                    const membership::member_table &members,
                    membership::demand_tree &tree,
                    const demand_source &source,
                    peers::rpc_caller &caller);

    /// Commands.

    /// Sends a report every 2 s until cancelled.
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> reportOnce();

    /// Queries.

    /// The RPC method to serve to other nodes.
    std::shared_ptr<peers::rpc_method> method();

private:
    class demand_method;

    const state::replicated_state &m_state;
    const membership::member_table &m_members;
    membership::demand_tree &m_tree;
    const demand_source &m_source;
    peers::rpc_caller &m_caller;
};

} // namespace chervilbend::control
