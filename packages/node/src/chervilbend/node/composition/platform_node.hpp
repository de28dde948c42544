#pragma once

#include <chervilbend/base/metric_registry.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/config/node_settings.hpp>
#include <chervilbend/fleet/command_lease.hpp>
#include <chervilbend/fleet/configuration_backup.hpp>
#include <chervilbend/fleet/configuration_follower.hpp>
#include <chervilbend/fleet/endpoint_follower.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/engine_controller.hpp>
#include <chervilbend/fleet/exchange_methods.hpp>
#include <chervilbend/fleet/holder_client.hpp>
#include <chervilbend/fleet/holder_configuration_provider.hpp>
#include <chervilbend/fleet/known_residency.hpp>
#include <chervilbend/fleet/published_versions.hpp>
#include <chervilbend/fleet/rate_limit_exchange.hpp>
#include <chervilbend/fleet/recorded_stream_origins.hpp>
#include <chervilbend/fleet/store_relay.hpp>
#include <chervilbend/fleet/usage_meter.hpp>
#include <chervilbend/net/event_loop_monitor.hpp>
#include <chervilbend/net/http_client.hpp>
#include <chervilbend/node/callers/admission.hpp>
#include <chervilbend/node/callers/caller_metrics.hpp>
#include <chervilbend/node/callers/endpoint_directory.hpp>
#include <chervilbend/node/callers/endpoint_reachability.hpp>
#include <chervilbend/node/callers/forwarder.hpp>
#include <chervilbend/node/callers/open_requests.hpp>
#include <chervilbend/node/callers/request_relay.hpp>
#include <chervilbend/node/callers/route_api.hpp>
#include <chervilbend/node/endpoint_feed.hpp>
#include <chervilbend/node/fleet_item_provider.hpp>
#include <chervilbend/node/health/health_api.hpp>
#include <chervilbend/node/health/readiness.hpp>
#include <chervilbend/node/health/shutdown_sequence.hpp>
#include <chervilbend/node/peer_api.hpp>
#include <chervilbend/peers/rpc_client.hpp>
#include <chervilbend/peers/rpc_server.hpp>
#include <chervilbend/platform/platform_configuration_copies.hpp>
#include <chervilbend/platform/platform_engine_client.hpp>
#include <chervilbend/platform/platform_request_codec.hpp>
#include <chervilbend/platform/platform_store.hpp>
#include <chervilbend/platform/platform_stream_store.hpp>
#include <chervilbend/platform/readiness_handler.hpp>
#include <chervilbend/routing/adaptive_director.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <random>

namespace chervilbend::net
{
class http_server;
}

namespace chervilbend::node
{

class settings_file;

/// A node on the users' platform, used when a metadata store is set: creates all components, connects them, and runs them on one thread
/// until a planned stop has ended.
class platform_node : public base::reason_holder
{
public:
    platform_node(const config::node_settings &settings, settings_file &file);
    ~platform_node();

    /// Listens and runs until stopped by SIGTERM or SIGINT. Returns the number of requests that were aborted, or no value, with a last
    /// reason, if the node cannot start.
    std::optional<std::size_t> run();

private:
    bool hasValidAddresses();
    boost::asio::awaitable<void> listen();
    boost::asio::awaitable<void> listenForMetrics();
    void runInBackground(std::string name, std::function<boost::asio::awaitable<void>()> task);
    void runEventLoop();
    void connectComponents();
    void setNodeCount(int nodes);
    void waitForSignal();
    void startShutdown();
    boost::asio::awaitable<void> watchForPauses();
    /// Opens connections to some endpoints; no value if too few are known.
    boost::asio::awaitable<std::optional<bool>> probeEndpoints(std::size_t endpoints);
    /// Requests that wait are passed on when this node has lost its links to the endpoints.
    void strandedChanged();
    /// Whether this node can serve requests of nodes that reach no endpoint.
    bool canHelp() const;
    /// A node becomes ready without a lease holder if none answers in time.
    boost::asio::awaitable<void> limitWaitForHolder();
    /// Implemented in platform_node_reports.cpp: metrics and the load line.
    void registerMetrics();
    /// Logs each second how busy this node is while it holds the command lease, and each time its event loop was late.
    boost::asio::awaitable<void> reportLoad();
    /// Logs what a node that is not ready waits for, and when it has become ready. Returns then.
    boost::asio::awaitable<void> reportReadiness();

    config::node_settings m_settings;
    settings_file &m_file;
    boost::asio::io_context m_context;
    base::metric_registry m_registry;

    std::shared_ptr<platform::store_client> m_storeClient;
    platform::platform_store m_store;
    platform::platform_stream_store m_streamStore;
    platform::platform_configuration_copies m_configurationCopies;
    platform::platform_request_codec m_requestCodec;
    fleet::configuration_follower m_configuration;
    fleet::endpoint_registry m_endpoints;
    fleet::endpoint_follower m_endpointFollower;
    fleet::published_versions m_publishedVersions;
    fleet::recorded_stream_origins m_streamOrigins;
    fleet::store_relay m_relay;
    fleet::known_residency m_residency;
    fleet::usage_meter m_usage;
    platform::platform_engine_client m_engines;
    fleet::command_lease m_lease;
    fleet::configuration_backup m_configurationBackup;
    fleet::engine_controller m_controller;
    std::shared_ptr<membership::message_signer> m_signer;
    peers::rpc_client m_peers;
    const routing::cluster_knowledge m_knowledge;
    fleet::rate_limit_exchange m_rateLimitExchange;
    fleet::holder_client m_holderClient;
    fleet::holder_configuration_provider m_holderConfiguration;

    routing::adaptive_director m_director;
    admission m_admission;
    endpoint_directory m_directory;
    net::http_client m_client;
    caller_metrics m_metrics;
    open_requests m_openRequests;
    endpoint_feed m_endpointFeed;
    endpoint_reachability m_reachability;
    request_relay m_relayToHelpers;
    forwarder m_forwarder;
    fleet_item_provider m_itemProvider;
    route_api m_routeApi;
    readiness m_readiness;
    platform::readiness_handler m_readinessHandler;
    std::shared_ptr<net::http_server> m_callerServer;
    std::shared_ptr<net::http_server> m_readyServer;
    health_api m_health;
    std::shared_ptr<net::http_server> m_metricsServer;
    net::event_loop_monitor m_loopMonitor;
    std::shared_ptr<fleet::exchange_method> m_exchangeMethod;
    peers::rpc_server m_rpc;
    peer_api m_peerApi;
    std::shared_ptr<net::http_server> m_peerServer;
    shutdown_sequence m_shutdown;
    boost::asio::signal_set m_signals;
    std::minstd_rand m_probeRandom;
    bool m_isStopping = false;
    std::size_t m_abortedRequests = 0;
    bool m_cannotListen = false;
};

} // namespace chervilbend::node
