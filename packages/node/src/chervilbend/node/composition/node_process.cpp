#include <chervilbend/node/composition/node_process.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/membership/message_signer.hpp>
#include <chervilbend/net/background_task.hpp>
#include <chervilbend/net/descriptor_limit.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/node/composition/listening_server.hpp>
#include <chervilbend/node/composition/start_signals.hpp>
#include <chervilbend/node/operators/commands/publish_method.hpp>
#include <chervilbend/node/operators/queries/diff_method.hpp>
#include <chervilbend/node/operators/queries/history_method.hpp>
#include <chervilbend/node/operators/queries/publish_status_method.hpp>
#include <chervilbend/node/operators/queries/status_method.hpp>
#include <chervilbend/node/settings/settings_file.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

constexpr base::milliseconds readinessPollInterval{50};
constexpr base::milliseconds keyReloadInterval{5'000};
/// Part of the shutdown timeout that is reserved for handing over the leases and appending the last statistics.
constexpr base::milliseconds handOverTimeout{3'000};

const log4cxx::LoggerPtr logger = base::partLogger("node");

node_identity identityOf(const config::node_settings &settings)
{
    node_identity identity;
    identity.id = base::node_id(settings.node);
    identity.incarnation = base::incarnation(base::clock::wallNow().count());
    identity.zone = base::zone_id(settings.zone);
    identity.peerAddress = settings.peerListen;
    return identity;
}

membership::signing_keys keysOf(const std::vector<std::string> &keys)
{
    return {keys.empty() ? std::string() : keys.front(), keys.size() > 1 ? keys[1] : std::string()};
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
    limits.idleTimeout = settings.idleTimeout;
    return limits;
}

routing::director_settings directorSettings(const config::node_settings &settings)
{
    constexpr double percent = 100;
    routing::director_settings director;
    director.queueMaximum = static_cast<std::size_t>(settings.queueLength);
    director.retryShare = static_cast<double>(settings.retryPercent) / percent;
    director.longShare = static_cast<double>(settings.longWorkPercent) / percent;
    return director;
}

std::uint64_t seedOf(const config::node_settings &settings, const node_identity &identity)
{
    return settings.seed != 0 ? static_cast<std::uint64_t>(settings.seed)
                              : base::hash64(identity.id.value(), static_cast<std::uint64_t>(identity.incarnation.count()));
}

} // namespace

node_process::node_process(const config::node_settings &settings, settings_file &file)
    : m_settings(settings)
    , m_file(file)
    , m_identity(identityOf(settings))
    , m_context(1)
    , m_signer(std::make_shared<membership::message_signer>(keysOf(settings.keys)))
    , m_clients(httpExternalClients(settings))
    , m_director(seedOf(settings, m_identity), directorSettings(settings))
    , m_meteredDirector(m_director, routing::director_settings().initialLimit)
    , m_control(m_context.get_executor(), settings, m_identity, m_clients, m_signer, m_meteredDirector)
    , m_dailyStatistics(m_context.get_executor(), m_identity, m_control, *m_clients.day)
    , m_dataPlane(m_context.get_executor(), settings, m_identity, m_meteredDirector, m_control, m_clients, m_registry, m_dailyStatistics)
    , m_operatorView(m_control.controlStream().state(), m_control.publishes(), m_control)
    , m_dayPage(m_dailyStatistics.days(), m_dataPlane.handler())
    , m_health(m_readiness, m_registry, m_dayPage)
    , m_rpc(m_signer)
    , m_callerServer(std::make_shared<net::http_server>(m_context.get_executor(), m_health, callerLimits(settings)))
    , m_peerServer(std::make_shared<net::http_server>(m_context.get_executor(), m_rpc))
    , m_shutdown(m_context.get_executor(),
                 m_readiness,
                 *m_callerServer,
                 m_dataPlane.openRequests(),
                 {settings.balancerWait, settings.shutdownBound, handOverTimeout},
                 [this] { return handOver(); })
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
{
    m_control.registerMethods(m_rpc);
    m_control.onPublishAccepted([this](const std::string &publishId) { m_dailyStatistics.recorder().publishSubmitted(publishId); });
    m_dailyStatistics.registerMethods(m_rpc);
    addOperatorMethods();
    m_dataPlane.metrics().registerGauges(m_dataPlane.openRequests(), m_dataPlane.admissionController(), *m_callerServer);
    m_readiness.setMissing("configuration");
    m_readiness.setMissing("hosts");
    m_readiness.setMissing("listening");
}

node_process::~node_process() = default;

std::optional<std::size_t> node_process::run()
{
    waitForSignal();
    start_signals::release();
    if (!hasValidAddresses()) {
        return std::nullopt;
    }
    net::runInBackground(m_context.get_executor(), "listen", [this] { return listen(); });
    LOG4CXX_INFO(logger,
                 "Node " << m_identity.id << " in zone " << m_identity.zone << " listens on " << m_settings.listen << ", and for other nodes on "
                         << m_settings.peerListen << '.');
    m_control.start();
    m_dataPlane.start();
    m_dailyStatistics.start();
    asio::co_spawn(m_context, updateReadiness(), asio::detached);
    asio::co_spawn(m_context, reloadKeys(), asio::detached);
    m_context.run();
    return m_cannotListen ? std::nullopt : std::optional(m_abortedRequests);
}

bool node_process::hasValidAddresses()
{
    if (!net::parseAddress(m_settings.listen) || !net::parseAddress(m_settings.peerListen)) {
        fail(base::error_kind::settingInvalid, "listen and peerListen must be IP:PORT");
        return false;
    }
    return true;
}

asio::awaitable<void> node_process::listen()
{
    const std::vector<listening_server> servers{{m_callerServer, m_settings.listen}, {m_peerServer, m_settings.peerListen}};
    const std::optional<base::reason> obstacle = co_await listenOnAll(servers);
    if (!obstacle) {
        m_readiness.setMet("listening");
    } else if (!m_isStopping) {
        fail(*obstacle);
        m_cannotListen = true;
        m_context.stop();
    }
}

void node_process::addOperatorMethods()
{
    m_rpc.add(std::make_shared<commands::publish_method>(m_operatorView, m_control));
    m_rpc.add(std::make_shared<queries::publish_status_method>(m_operatorView));
    m_rpc.add(std::make_shared<queries::status_method>(m_operatorView));
    m_rpc.add(std::make_shared<queries::history_method>(m_operatorView));
    m_rpc.add(std::make_shared<queries::diff_method>(m_operatorView));
}

void node_process::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        waitForSignal();
        if (signal == SIGHUP) {
            LOG4CXX_INFO(logger, "Signal " << signal << " received; the keys are read again every few seconds.");
            return;
        }
        LOG4CXX_INFO(logger, "Signal " << signal << (m_isStopping ? " received again, the shutdown goes on." : " received, shutting down."));
        if (!std::exchange(m_isStopping, true)) {
            startShutdown();
        }
    });
}

void node_process::startShutdown()
{
    asio::co_spawn(m_context, m_shutdown.run(), [this](const std::exception_ptr &, std::size_t abortedRequests) {
        m_abortedRequests = abortedRequests;
        LOG4CXX_INFO(logger, "Stopped, " << abortedRequests << " requests aborted.");
        m_context.stop();
    });
}

asio::awaitable<void> node_process::handOver()
{
    // Loads and unloads are counted by the owner of the endpoint, which this node is until it hands its leases over.
    m_dailyStatistics.observe();
    co_await m_control.handOverLeases(handOverTimeout / 2);
    co_await m_dailyStatistics.stop(handOverTimeout / 2);
}

asio::awaitable<void> node_process::updateReadiness()
{
    while (!m_readiness.isReady()) {
        if (m_control.hosts().isKnown()) {
            m_readiness.setMet("hosts");
        }
        // A node that has read the log to its head is ready even if the log is empty: an empty configuration is valid.
        // A node that has read only part of the log is not ready, because it could serve an outdated configuration.
        const bool isAtHead = m_control.controlStream().follower().lastAtHead() != base::time_point::min();
        if (isAtHead || m_control.hasStateFromPeers()) {
            m_readiness.setMet("configuration");
        }
        if (m_readiness.isShuttingDown()) {
            co_return;
        }
        co_await net::sleepFor(readinessPollInterval);
    }
    LOG4CXX_INFO(logger, "Ready.");
}

asio::awaitable<void> node_process::reloadKeys()
{
    while (true) {
        co_await net::sleepFor(keyReloadInterval);
        const std::optional<std::vector<std::string>> keys = m_file.rereadKeys();
        if (keys) {
            m_signer->setKeys(keysOf(*keys));
            LOG4CXX_INFO(logger, "Signing keys reloaded, " << keys->size() << " in use.");
        } else if (!m_file.lastReason().text.empty()) {
            LOG4CXX_WARN(logger, "Signing keys could not be reloaded, the previous ones stay in use: " << m_file.lastReason().text);
        }
    }
}

} // namespace chervilbend::node
