#pragma once

#include <chervilbend/base/metric_registry.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/config/node_settings.hpp>
#include <chervilbend/net/http_server.hpp>
#include <chervilbend/node/composition/control_plane.hpp>
#include <chervilbend/node/composition/daily_statistics.hpp>
#include <chervilbend/node/composition/data_plane.hpp>
#include <chervilbend/node/composition/external_clients.hpp>
#include <chervilbend/node/composition/node_identity.hpp>
#include <chervilbend/node/health/health_api.hpp>
#include <chervilbend/node/health/readiness.hpp>
#include <chervilbend/node/health/shutdown_sequence.hpp>
#include <chervilbend/node/metered_director.hpp>
#include <chervilbend/node/operators/state_operator_view.hpp>
#include <chervilbend/node/reports/day_page_api.hpp>
#include <chervilbend/peers/rpc_server.hpp>
#include <chervilbend/routing/adaptive_director.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>

namespace chervilbend::node
{

class settings_file;

/// A node whose control plane works through the log service, used when no metadata store is set: creates all components and runs them on one
/// thread until a planned stop has ended.
class node_process : public base::reason_holder
{
public:
    /// @p file is polled for changed signing keys while the node runs; it must outlive the object.
    node_process(const config::node_settings &settings, settings_file &file);
    ~node_process();

    /// Listens and runs until stopped by SIGTERM or SIGINT. Returns the number of requests that were aborted, or no value, with a last
    /// reason, if the node cannot listen on one of its addresses.
    std::optional<std::size_t> run();

private:
    bool hasValidAddresses();
    boost::asio::awaitable<void> listen();
    void addOperatorMethods();
    void waitForSignal();
    void startShutdown();
    boost::asio::awaitable<void> updateReadiness();
    boost::asio::awaitable<void> reloadKeys();
    boost::asio::awaitable<void> handOver();

    config::node_settings m_settings;
    settings_file &m_file;
    node_identity m_identity;
    boost::asio::io_context m_context;
    base::metric_registry m_registry;
    std::shared_ptr<membership::message_signer> m_signer;
    external_clients m_clients;
    routing::adaptive_director m_director;
    metered_director m_meteredDirector;
    control_plane m_control;
    daily_statistics m_dailyStatistics;
    data_plane m_dataPlane;
    state_operator_view m_operatorView;
    readiness m_readiness;
    day_page_api m_dayPage;
    health_api m_health;
    peers::rpc_server m_rpc;
    std::shared_ptr<net::http_server> m_callerServer;
    std::shared_ptr<net::http_server> m_peerServer;
    shutdown_sequence m_shutdown;
    boost::asio::signal_set m_signals;
    bool m_isStopping = false;
    std::size_t m_abortedRequests = 0;
    bool m_cannotListen = false;
};

} // namespace chervilbend::node
