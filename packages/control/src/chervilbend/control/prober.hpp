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

/// Probes one member per second, through others when it does not answer, and answers the probes of other nodes.
///
/// Sends one probe and receives one on average, whatever the number of nodes. Must outlive the io_context's run.
class prober
{
public:
    prober(boost::asio::any_io_executor executor, membership::member_table &members, peers::rpc_caller &caller);

    /// Commands.

    /// Probes until cancelled.
    boost::asio::awaitable<void> run();

    /// One probe, with its indirect ones if needed.
    boost::asio::awaitable<void> probeOnce();

    /// Keeps a suspicion and sends it at once to all members in this node's zone; the others get it with probes.
    void broadcastSuspicion(membership::crash_suspicion suspicion);

    /// Tells the nodes that may hold leases that this one is about to stop. Probes would tell them too late: a holder that does not
    /// know hands leases back to this node. Waits for their answers, at most half a second.
    boost::asio::awaitable<void> announceLeaving();

    /// Queries.

    /// The methods to serve to other nodes.
    std::vector<std::shared_ptr<peers::rpc_method>> methods();

private:
    class probe_method;
    class indirect_probe_method;
    class relay_method;

    boost::asio::awaitable<bool> probe(membership::member target);
    boost::asio::awaitable<void> probeFor(membership::member target, net::address asker);
    boost::asio::awaitable<void> tell(std::string method, std::string address, Json::Value message);
    struct open_answers;
    boost::asio::awaitable<void> tellAndCount(std::string address, Json::Value message, std::shared_ptr<open_answers> open);
    void start(boost::asio::awaitable<void> task);

    boost::asio::any_io_executor m_executor;
    membership::member_table &m_members;
    peers::rpc_caller &m_caller;
    /// When another node last relayed an answer of a member.
    std::map<base::node_id, base::time_point> m_relayedAt;
};

} // namespace chervilbend::control
