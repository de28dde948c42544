#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/membership/member_table.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/peers/rpc_caller.hpp>
#include <chervilbend/peers/rpc_method.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilbend::control
{

/// Probes one member per second, indirectly through other members if it does not answer, and answers the probes of other nodes.
///
/// On average it sends and receives one probe per second, regardless of the number of nodes. Must outlive the io_context's run.
class prober
{
public:
    prober(boost::asio::any_io_executor executor, membership::member_table &members, peers::rpc_caller &caller);

    /// Commands.

    /// Probes members until cancelled.
    boost::asio::awaitable<void> run();

    /// Probes the next member, indirectly if it does not answer.
    boost::asio::awaitable<void> probeOnce();

    /// Stores a suspicion and sends it immediately to all members in this node's zone. Other members receive it with probes.
    void broadcastSuspicion(membership::crash_suspicion suspicion);

    /// Notifies the nodes that may hold leases that this node is about to stop. Gossip on probes would be too late: a holder that is not
    /// yet notified hands leases back to this node. Waits up to 500 ms for the answers.
    boost::asio::awaitable<void> announceLeaving();

    /// Queries.

    /// The RPC methods to serve to other nodes.
    std::vector<std::shared_ptr<peers::rpc_method>> methods();

private:
    class probe_method;
    class indirect_probe_method;
    class relay_method;

    boost::asio::awaitable<bool> probe(membership::member target);
    boost::asio::awaitable<void> probeOnBehalf(membership::member target, net::address requester);
    boost::asio::awaitable<void> callAndIgnoreAnswer(std::string method, std::string address, Json::Value message);
    struct pending_answers;
    boost::asio::awaitable<void> callAndCountDown(std::string address, Json::Value message, std::shared_ptr<pending_answers> pending);
    void spawn(boost::asio::awaitable<void> task);

    boost::asio::any_io_executor m_executor;
    membership::member_table &m_members;
    peers::rpc_caller &m_caller;
    /// When another node last relayed an answer of each member.
    std::map<base::node_id, base::time_point> m_relayedAt;
};

} // namespace chervilbend::control
