#pragma once

#include <chervilbend/config/node_settings.hpp>
#include <chervilbend/control/demand_reporter.hpp>
#include <chervilbend/control/endpoint_driver_pool.hpp>
#include <chervilbend/control/host_listener.hpp>
#include <chervilbend/control/host_watcher.hpp>
#include <chervilbend/control/incarnation_end_observer.hpp>
#include <chervilbend/control/lease_manager.hpp>
#include <chervilbend/control/log_stream.hpp>
#include <chervilbend/control/planner_task.hpp>
#include <chervilbend/control/prober.hpp>
#include <chervilbend/membership/demand_tree.hpp>
#include <chervilbend/membership/member_table.hpp>
#include <chervilbend/node/composition/node_identity.hpp>
#include <chervilbend/node/operators/declaration_cache.hpp>
#include <chervilbend/node/operators/node_info.hpp>
#include <chervilbend/node/operators/publish_sink.hpp>
#include <chervilbend/peers/rpc_client.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chervilbend::peers
{
class rpc_server;
} // namespace chervilbend::peers

namespace chervilbend::node
{

struct external_clients;

/// The control components of a node: log streams, membership, leases, planning, and commands to the engines.
class control_plane : public publish_sink, public node_info, public control::host_listener
{
public:
    /// All references must outlive the object, and the object must outlive the run of the io_context.
    control_plane(const boost::asio::any_io_executor &executor,
                  const config::node_settings &settings,
                  node_identity identity,
                  external_clients &clients,
                  std::shared_ptr<membership::message_signer> signer,
                  const control::demand_source &demand);

    /// Commands.

    /// Starts the background tasks.
    void start();
    /// Adds the RPC methods that other nodes call to @p server.
    void registerMethods(peers::rpc_server &server);
    /// Announces that the node is leaving, hands over all its leases and waits at most @p timeout until the log confirms it. Logs a warning
    /// if it does not.
    boost::asio::awaitable<void> handOverLeases(base::milliseconds timeout);

    /// Sets the function that is called with the id of each publish that this node accepts for appending. Empty for none.
    void onPublishAccepted(std::function<void(const std::string &publishId)> listener);
    bool submit(state::entry entry) override;
    void hostsChanged(const std::vector<external::host_entry> &hosts) override;

    control::log_stream &controlStream()
    {
        return m_control;
    }

    control::log_stream &ordersStream()
    {
        return m_orders;
    }

    control::host_watcher &hosts()
    {
        return m_hosts;
    }

    control::prober &prober()
    {
        return m_prober;
    }

    const membership::member_table &members() const
    {
        return m_members;
    }

    /// Queries.

    const declaration_cache &publishes() const
    {
        return m_archive;
    }

    /// Whether the state was restored from other nodes because the log was unavailable at the start.
    bool hasStateFromPeers() const
    {
        return m_hasStateFromPeers;
    }

    base::node_id self() const override;
    log_status log() const override;
    std::vector<known_node> nodes() const override;
    /// Whether that incarnation of the node has ended, according to the log or to membership.
    bool hasEnded(const base::node_id &node, base::incarnation incarnation) const;

private:
    boost::asio::awaitable<void> refreshMembers();
    boost::asio::awaitable<void> writeCheckpoints();
    boost::asio::awaitable<void> fetchStateFromPeers();
    boost::asio::awaitable<bool> fetchStream(net::address peer, std::string stream, control::log_stream *target);
    void spawn(boost::asio::awaitable<void> task);

    boost::asio::any_io_executor m_executor;
    config::node_settings m_settings;
    node_identity m_identity;
    bool m_hasStateFromPeers = false;
    external_clients &m_clients;

    std::function<void(const std::string &)> m_publishAccepted;
    declaration_cache m_archive;
    control::log_stream m_control;
    control::log_stream m_orders;
    control::host_watcher m_hosts;
    membership::member_table m_members;
    membership::demand_tree m_demand;
    peers::rpc_client m_peers;
    control::prober m_prober;
    control::demand_reporter m_reporter;
    control::lease_manager m_leases;
    control::endpoint_driver_pool m_drivers;
    control::planner_task m_planner;
    control::incarnation_end_observer m_endObserver;
};

} // namespace chervilbend::node
