#include <chervilbend/node/composition/platform_node.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/fleet/configuration_read_method.hpp>
#include <chervilbend/fleet/rate_limit_method.hpp>
#include <chervilbend/net/background_task.hpp>
#include <chervilbend/net/connect_probe.hpp>
#include <chervilbend/net/descriptor_limit.hpp>
#include <chervilbend/net/http_server.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/node/composition/listening_server.hpp>
#include <chervilbend/node/composition/start_signals.hpp>
#include <chervilbend/node/settings/settings_file.hpp>
#include <chervilbend/platform/store_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <csignal>
#include <exception>
#include <utility>
#include <vector>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

/// The one-way latency between zones is about 4 ms (docs/design.md, current sizes).
constexpr double crossZoneRoundTripMs = 8;
/// Fraction of the cluster-wide retry limits that the nodes use, because their information about each other is about one second old.
constexpr double retryMargin = 0.8;
/// Limit of requests in flight at an endpoint, as a multiple of its slots. It is above 1 so that requests queue at the platform's servers
/// rather than in the nodes: a server has a queue that orders the requests of all nodes by urgency.
constexpr double slotFactor = 2.5;
/// Number of nodes that is assumed until the record of the command lease or its holder provides the actual one.
constexpr int initialNodeCount = 24;
/// Part of the shutdown timeout that is reserved for the time between the end of the last request and the end of the process.
constexpr base::milliseconds shutdownReserve{500};
/// Part of it in which an answer that endpoints give at their deadline still reaches the caller.
constexpr base::milliseconds answerReserve{250};
/// Interval between reads of the endpoint registrations, as a fraction of the time for which a draining endpoint still takes requests. The
/// remainder of that time covers the delay of the store and the requests that are queued in the node.
constexpr double readIntervalFraction = 0.4;
constexpr base::milliseconds minReadInterval{250};
/// Minimum idle timeout of callers' connections. Callers reuse connections for as long as the limits set by the operators allow, and these
/// are not known when the server starts.
constexpr base::milliseconds callerIdleTimeout{60'000};

constexpr base::milliseconds maxWaitForHolder{1'000};
/// Within this time of the return of the store, all nodes have noticed it: the longest pause between two retries, and a slow call.
constexpr base::milliseconds maxNoticeOfReturn{2'000};
/// Connections to endpoints that tell whether this node reaches any.
constexpr base::milliseconds probeTimeout{300};
constexpr std::size_t leastProbes = 2;
constexpr std::uint32_t relayHeaderBytes = 1'024;

const log4cxx::LoggerPtr &nodeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("node");
    return logger;
}

net::http_server_limits callerLimits(const config::node_settings &settings)
{
    net::http_server_limits limits;
    limits.headerBytes = static_cast<std::uint32_t>(settings.headerLimit.count());
    limits.bodyBytes = static_cast<std::uint64_t>(settings.bodyLimit.count());
    limits.allRequestsBytes = static_cast<std::size_t>(settings.bufferLimit.count());
    limits.connections = net::callerConnectionLimit(static_cast<std::size_t>(settings.connectionLimit));
    limits.readTimeout = settings.readTimeout;
    limits.writeTimeout = settings.writeTimeout;
    limits.idleTimeout = std::max(settings.idleTimeout, callerIdleTimeout);
    return limits;
}

net::http_server_limits peerLimits(const config::node_settings &settings)
{
    // Other nodes pass on requests of callers, with headers of their own.
    net::http_server_limits limits;
    limits.headerBytes = std::max(limits.headerBytes, static_cast<std::uint32_t>(settings.headerLimit.count()) + relayHeaderBytes);
    limits.bodyBytes = std::max(limits.bodyBytes, static_cast<std::uint64_t>(settings.bodyLimit.count()));
    limits.writeTimeout = settings.writeTimeout;
    return limits;
}

routing::director_settings directorSettings(const config::node_settings &settings)
{
    routing::director_settings director;
    director.queueMaximum = static_cast<std::size_t>(settings.queueLength);
    director.isolateSuspects = false;
    director.slotFactor = slotFactor;
    director.retryShare = settings.retryShare * retryMargin;
    director.retryWindow = settings.retryWindow;
    director.clusterRetryBurst = settings.retryBurst * retryMargin;
    return director;
}

fleet::command_lease_options leaseOptions(const config::node_settings &settings)
{
    fleet::command_lease_options options;
    options.node = base::node_id(settings.node);
    options.incarnation = base::clock::wallNow().count();
    options.peerAddress = settings.peerListen;
    options.processorShare = settings.processorShare;
    options.commandGap = settings.commandGap;
    options.enginesCheckFencing = settings.enginesCheckFencing;
    return options;
}

std::shared_ptr<platform::store_client> storeClient(const config::node_settings &settings)
{
    return std::make_shared<platform::store_client>(net::parseAddress(settings.metadataStore).value_or(net::address{}), std::make_shared<net::http_client>());
}

base::milliseconds readInterval(const config::node_settings &settings)
{
    return std::max(minReadInterval, base::milliseconds(static_cast<std::int64_t>(static_cast<double>(settings.drainTime.count()) * readIntervalFraction)));
}

std::map<base::account_id, routing::quota_limit> quotaLimitsOf(const fleet::traffic_configuration &configuration)
{
    std::map<base::account_id, routing::quota_limit> limits;
    for (const fleet::account_rule &account : configuration.accounts.value_or(std::vector<fleet::account_rule>())) {
        if (account.quota.isLimited()) {
            // As for keys, the first entry of an account counts.
            limits.try_emplace(account.id, routing::quota_limit{account.quota.rate, account.quota.burst, account.quota.unit});
        }
    }
    return limits;
}

std::uint64_t seedOf(const config::node_settings &settings)
{
    return settings.seed != 0 ? static_cast<std::uint64_t>(settings.seed)
                              : base::hash64(settings.node, static_cast<std::uint64_t>(base::clock::wallNow().count()));
}

} // namespace

platform_node::platform_node(const config::node_settings &settings, settings_file &file)
    : m_settings(settings)
    , m_file(file)
    , m_context(1)
    , m_storeClient(storeClient(settings))
    , m_store(m_storeClient)
    , m_streamStore(m_storeClient)
    , m_configurationCopies(m_storeClient, static_cast<int>(settings.configurationCopies), static_cast<std::size_t>(settings.storeRecordLimit))
    , m_refusedPartsStore(m_storeClient)
    , m_configuration(m_store, seedOf(settings))
    , m_endpointFollower(m_store, m_endpoints, readInterval(settings), seedOf(settings) + 1)
    , m_publishedVersions(m_streamStore, m_endpoints, seedOf(settings) + 2)
    , m_streamOrigins(m_streamStore, m_publishedVersions)
    , m_relay(m_endpoints, m_endpointFollower, m_configuration)
    , m_residency(m_endpoints)
    , m_engines(std::make_shared<net::http_client>())
    , m_lease(m_store, leaseOptions(settings))
    , m_configurationBackup(m_configurationCopies,
                            m_configuration,
                            m_lease,
                            m_registry.counterFor("chervilbend_configuration_restored_total", "Configurations taken from a copy in the store"))
    , m_controller(m_context.get_executor(), m_engines, m_lease, m_endpoints, [this] { return m_configuration.current(); })
    , m_signer(std::make_shared<membership::message_signer>(membership::signing_keys{settings.metadataStore, {}}))
    , m_peers(m_signer, std::make_shared<net::http_client>())
    , m_refusedParts(m_refusedPartsStore, *m_knowledge.promptParts, m_lease)
    , m_rateLimitExchange(base::node_id(settings.node), base::clock::wallNow().count(), m_lease, m_peers, *m_knowledge.rateLimits, *m_knowledge.quotas)
    , m_holderClient(base::node_id(settings.node), m_lease, m_controller, m_peers, m_residency, m_usage, m_relay, m_knowledge, m_rateLimitExchange)
    , m_holderConfiguration(base::node_id(settings.node), m_lease, m_peers)
    , m_director(seedOf(settings), directorSettings(settings), m_knowledge)
    , m_admission(m_context.get_executor(), m_director)
    , m_metrics(m_registry)
    , m_endpointFeed(m_director, m_directory, m_endpoints, m_residency, m_publishedVersions, base::zone_id(settings.zone), crossZoneRoundTripMs)
    , m_reachability([this](std::size_t endpoints) { return probeEndpoints(endpoints); })
    , m_relayToHelpers(m_requestCodec, m_reachability, *m_knowledge.helpers)
    , m_forwarder(m_admission, m_directory, m_client, m_metrics)
    , m_itemProvider(m_residency, m_holderClient)
    , m_routeApi(m_requestCodec, m_forwarder, m_itemProvider, m_usage, m_openRequests, m_streamOrigins, m_metrics, m_registry, m_knowledge.quotas)
    , m_readinessHandler([this] { return m_readiness.isReady(); })
    , m_callerServer(std::make_shared<net::http_server>(m_context.get_executor(), m_routeApi, callerLimits(settings)))
    , m_readyServer(std::make_shared<net::http_server>(m_context.get_executor(), m_readinessHandler))
    , m_health(m_readiness, m_registry, m_readinessHandler)
    , m_metricsServer(std::make_shared<net::http_server>(m_context.get_executor(), m_health))
    , m_exchangeMethod(std::make_shared<fleet::exchange_method>(m_lease, m_controller, m_relay, m_knowledge, m_rateLimitExchange, settings.linkRate))
    , m_rpc(m_signer)
    , m_peerApi(m_requestCodec, m_rpc, m_routeApi, [this] { return canHelp(); })
    , m_peerServer(std::make_shared<net::http_server>(m_context.get_executor(), m_peerApi, peerLimits(settings)))
    , m_shutdown(m_context.get_executor(),
                 m_readiness,
                 *m_callerServer,
                 m_openRequests,
                 {settings.balancerWait, settings.shutdownBound - shutdownReserve, base::milliseconds(0)},
                 {})
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_probeRandom(static_cast<std::minstd_rand::result_type>(seedOf(settings) + 3))
{
    connectComponents();
}

platform_node::~platform_node() = default;

void platform_node::connectComponents()
{
    m_readiness.setMissing("configuration");
    m_readiness.setMissing("endpoints");
    m_readiness.setMissing("listening");
    // The first answer has the prompt parts that are refused; without them, each new process would repeat what the others have stopped.
    m_readiness.setMissing("lease holder");
    m_holderClient.onFirstAnswer([this] { m_readiness.setMet("lease holder"); });
    setNodeCount(initialNodeCount);
    m_forwarder.setStreamOrigins(m_streamOrigins);
    m_forwarder.setResponseLimit(m_settings.bufferLimit);
    m_forwarder.setReachability(m_reachability);
    m_forwarder.setRelay(m_relayToHelpers);
    m_forwarder.setRetryEstimation(m_settings.estimatedRetryAfter);
    m_reachability.onChange([this] { strandedChanged(); });
    m_knowledge.helpers->setOwn(base::node_id(m_settings.node), {m_settings.peerListen, base::zone_id(m_settings.zone), true, true});
    m_publishedVersions.setRegistrationsReadAt([this] { return m_endpointFollower.readAt().boot; });
    m_publishedVersions.onChange([this] {
        m_streamOrigins.versionsChanged();
        m_endpointFeed.updateAll();
    });
    m_endpointFeed.onChange([this] { m_admission.deliverDecisions(); });
    m_routeApi.setAuthentication({m_settings.configurationBound, m_settings.strictRevocation, m_settings.revocationBound},
                                 [this] { return m_configuration.confirmedAt(); });
    m_knowledge.quotas->setOvershoot(m_settings.quotaOvershoot);
    m_knowledge.quotas->onIsolation(
        [](bool isIsolated) { LOG4CXX_INFO(nodeLog(), base::log_event(isIsolated ? "quotasIsolated" : "quotaIsolationEnded").text()); });
    m_configuration.setStoreReadRate(m_settings.storeReadRate);
    m_configuration.onChange([this](const fleet::traffic_configuration &newest) {
        m_rateLimitExchange.setQuotaLimits(quotaLimitsOf(newest));
        m_routeApi.setRoutes(std::make_shared<const fleet::route_table>(m_configuration.current()));
        m_readiness.setMet("configuration");
    });
    m_endpointFollower.onFirstRead([this] { runInBackground("first registrations", [this] { return waitForRegistrations(); }); });
    m_endpointFollower.onStoreProblem([this] { m_configuration.noteStoreProblem(); });
    m_endpointFollower.onChange([this](const std::set<base::endpoint_id> &changed) {
        m_relay.noteChanged(changed);
        m_publishedVersions.endpointsChanged();
        m_endpointFeed.update(changed);
        m_controller.endpointsChanged(changed);
        m_readiness.setMet("endpoints");
    });
    m_lease.onChange([this](bool isHolder) {
        m_relay.leaseChanged(isHolder);
        m_rateLimitExchange.leaseChanged(isHolder);
        m_controller.leaseChanged(isHolder);
        if (isHolder) {
            m_knowledge.unreachableReports->start();
        }
        m_publishedVersions.setHolder(isHolder);
    });
    m_controller.onChange([this] { m_holderClient.applyLocalUpdates(); });
    m_holderClient.onChange([this](const std::set<base::endpoint_id> &changed) { m_endpointFeed.update(changed); });
    m_lease.onNodes([this](int nodes) { setNodeCount(nodes); });
    m_holderClient.onNodes([this](int nodes) { setNodeCount(nodes); });
    m_holderClient.onRank([this](int rank) { m_director.setNodeRank(rank); });
    m_forwarder.setMissingItemListener([this](const base::endpoint_id &endpoint, const fleet::requested_item &item) {
        m_itemProvider.reportMissing(endpoint, item);
        m_endpointFeed.update({endpoint});
    });
    m_loopMonitor.onMeasurement([this](base::milliseconds lag) { m_exchangeMethod->noteLoopLag(lag); });
    m_rpc.add(m_exchangeMethod);
    m_rpc.add(std::make_shared<fleet::prompt_exchange_method>(*m_knowledge.promptParts));
    m_knowledge.promptParts->onRefusal([](std::uint64_t part, std::size_t losses) {
        LOG4CXX_WARN(nodeLog(), base::log_event("promptPartRefused").with("part", part).with("lostEndpoints", losses).text());
    });
    m_rpc.add(std::make_shared<fleet::rate_limit_method>(m_rateLimitExchange));
    m_rpc.add(std::make_shared<fleet::configuration_read_method>(base::node_id(m_settings.node), m_configuration, m_settings.linkRate));
    m_knowledge.rateLimits->onChange([](const routing::endpoint_process &process, std::optional<double> requestRate) {
        base::log_event event(requestRate ? "endpointLimited" : "endpointLimitEnded");
        event.with("endpoint", process.endpoint.value());
        if (requestRate) {
            event.with("requestsPerSecond", std::to_string(*requestRate));
        }
        LOG4CXX_INFO(nodeLog(), event.text());
    });
    m_knowledge.leaving->onNote([this](const routing::endpoint_process &process) {
        LOG4CXX_INFO(nodeLog(), base::log_event("endpointLeaves").with("endpoint", process.endpoint.value()).text());
        m_director.endpointLeaves(process);
    });
    m_knowledge.unreachable->setEnabled(m_settings.sharedEndpointFailures);
    m_knowledge.unreachable->onNote([](const routing::endpoint_process &process, routing::unreachable_reporter reporter) {
        LOG4CXX_INFO(nodeLog(),
                     base::log_event("endpointUnreachable")
                         .with("endpoint", process.endpoint.value())
                         .with("reportedBy", reporter == routing::unreachable_reporter::self ? "self" : "others")
                         .text());
    });
    m_knowledge.unreachable->onChange([this] { m_director.unreachableChanged(); });
    m_rateLimitExchange.onDecision([this] {
        m_director.rateLimitsChanged();
        m_admission.deliverDecisions();
    });
    m_rpc.addSuspending(std::make_shared<fleet::ensure_loaded_method>(m_lease, m_controller));
    registerMetrics();
}

void platform_node::setNodeCount(int nodes)
{
    m_director.setNodeCount(nodes);
    m_knowledge.quotas->setNodeCount(nodes);
    m_publishedVersions.setNodeCount(nodes);
    m_streamOrigins.setNodeCount(nodes);
    m_configuration.setNodeCount(nodes);
}

std::optional<std::size_t> platform_node::run()
{
    if (!hasValidAddresses()) {
        return std::nullopt;
    }
    waitForSignal();
    start_signals::release();
    LOG4CXX_INFO(nodeLog(), base::log_event("started").with("node", m_settings.node).with("zone", m_settings.zone).with("listen", m_settings.listen).text());
    runInBackground("configuration", [this] { return m_configuration.run(); });
    for (int copy = 0; copy < m_configurationCopies.count(); ++copy) {
        runInBackground("configuration copy", [this, copy] { return m_configurationBackup.run(copy); });
    }
    runInBackground("configuration from nodes", [this] { return m_configuration.followNodes(m_holderConfiguration); });
    runInBackground("endpoints", [this] { return m_endpointFollower.run(); });
    runInBackground("refused parts", [this] { return m_refusedParts.run(); });
    runInBackground("versions", [this] { return m_publishedVersions.run(); });
    runInBackground("origins", [this] { return m_streamOrigins.run(); });
    runInBackground("reachability", [this] { return m_reachability.run(); });
    runInBackground("pauses", [this] { return watchForPauses(); });
    runInBackground("loop", [this] { return m_loopMonitor.run(); });
    runInBackground("load", [this] { return reportLoad(); });
    runInBackground("readiness reports", [this] { return reportReadiness(); });
    runInBackground("readiness", [this] { return limitWaitForHolder(); });
    runInBackground("lease", [this] { return m_lease.run(); });
    runInBackground("rate limits", [this] { return m_rateLimitExchange.run(); });
    runInBackground("engines", [this] { return m_controller.run(); });
    runInBackground("holder", [this] { return m_holderClient.run(); });
    runInBackground("metrics", [this] { return listenForMetrics(); });
    runInBackground("listen", [this] { return listen(); });
    runEventLoop();
    return m_cannotListen ? std::nullopt : std::optional(m_abortedRequests);
}

void platform_node::runInBackground(std::string name, std::function<asio::awaitable<void>()> task)
{
    net::runInBackground(m_context.get_executor(), std::move(name), std::move(task));
}

/// A failed handler ends its own work only.
void platform_node::runEventLoop()
{
    while (true) {
        try {
            m_context.run();
            return;
        } catch (const std::exception &failure) {
            LOG4CXX_ERROR(nodeLog(), base::log_event("handlerFailed").with("why", failure.what()).text());
        }
    }
}

bool platform_node::hasValidAddresses()
{
    if (!net::parseAddress(m_settings.listen) || !net::parseAddress(m_settings.readyListen) || !net::parseAddress(m_settings.peerListen)) {
        fail(base::error_kind::settingInvalid, "listen, readyListen and peerListen must be IP:PORT");
        return false;
    }
    return true;
}

asio::awaitable<void> platform_node::listen()
{
    const std::vector<listening_server> servers{
        {m_peerServer, m_settings.peerListen}, {m_readyServer, m_settings.readyListen}, {m_callerServer, m_settings.listen}};
    const std::optional<base::reason> obstacle = co_await listenOnAll(servers);
    if (!obstacle) {
        m_readiness.setMet("listening");
    } else if (!m_isStopping) {
        fail(*obstacle);
        m_cannotListen = true;
        m_context.stop();
    }
}

asio::awaitable<void> platform_node::listenForMetrics()
{
    if (m_settings.metricsListen.empty()) {
        co_return;
    }
    const std::vector<listening_server> servers{{m_metricsServer, m_settings.metricsListen}};
    const std::optional<base::reason> obstacle = co_await listenOnAll(servers);
    if (obstacle) {
        LOG4CXX_ERROR(nodeLog(), base::log_event("noMetrics").with("why", obstacle->text).text());
    }
}

void platform_node::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        waitForSignal();
        LOG4CXX_INFO(nodeLog(), base::log_event("signal").with("number", signal).with("stopping", m_isStopping).text());
        if (signal == SIGHUP) {
            LOG4CXX_INFO(nodeLog(), base::log_event("reload").with("why", "no setting that can change at run time has changed").text());
        } else if (!std::exchange(m_isStopping, true)) {
            startShutdown();
        }
    });
}

void platform_node::startShutdown()
{
    m_knowledge.helpers->setCanHelp(false);
    const base::time_point now = base::clock::now();
    m_routeApi.stopAt(now + m_settings.balancerWait, now + m_settings.shutdownBound - shutdownReserve - answerReserve);
    // Released before the open requests end, so that the next holder's wait for the command gap coincides with them.
    asio::co_spawn(m_context, m_lease.release(), asio::detached);
    asio::co_spawn(m_context, m_shutdown.run(), [this](const std::exception_ptr &, std::size_t abortedRequests) {
        m_abortedRequests = abortedRequests;
        LOG4CXX_INFO(nodeLog(), base::log_event("stopped").with("cutOff", abortedRequests).text());
        m_context.stop();
    });
}

asio::awaitable<void> platform_node::waitForRegistrations()
{
    // While registrations that have lapsed come back, nodes that know the endpoints from before still use them. After that, no node has any: this one is as
    // good as the others, and says at once that it runs nothing.
    if (m_endpoints.endpoints().empty()) {
        co_await net::sleepFor(fleet::endpoint_registry::reregistrationGrace + maxNoticeOfReturn);
    }
    m_readiness.setMet("endpoints");
}

asio::awaitable<void> platform_node::limitWaitForHolder()
{
    co_await net::sleepFor(maxWaitForHolder);
    m_readiness.setMet("lease holder");
}

bool platform_node::canHelp() const
{
    return !m_reachability.isStranded() && !m_readiness.isShuttingDown();
}

void platform_node::strandedChanged()
{
    m_knowledge.helpers->setCanHelp(canHelp());
    if (m_reachability.isStranded()) {
        m_admission.refuseWaiting({base::error_kind::noEndpoint, "this node reaches no endpoint"});
    }
}

asio::awaitable<std::optional<bool>> platform_node::probeEndpoints(std::size_t endpoints)
{
    std::vector<net::address> addresses = m_directory.addresses();
    if (addresses.size() < leastProbes) {
        co_return std::nullopt;
    }
    std::shuffle(addresses.begin(), addresses.end(), m_probeRandom);
    addresses.resize(std::min(addresses.size(), endpoints));
    co_return co_await net::canConnectToAny(std::move(addresses), probeTimeout);
}

asio::awaitable<void> platform_node::watchForPauses()
{
    while (true) {
        m_director.checkForPause();
        co_await net::sleepFor(routing::traffic_director::pauseCheckInterval);
    }
}

} // namespace chervilbend::node
