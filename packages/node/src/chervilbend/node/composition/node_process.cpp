#include <chervilbend/node/composition/node_process.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/base/log.hpp>
#include <chervilbend/membership/message_signer.hpp>
#include <chervilbend/net/sleep.hpp>
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

constexpr base::milliseconds readinessInterval{50};
constexpr base::milliseconds keysInterval{5'000};
/// Kept of the shutdown's bound for handing over the leases.
constexpr base::milliseconds handOverPatience{3'000};

const log4cxx::LoggerPtr logger = base::partLogger("node");

node_identity identityOf(const config::node_settings &settings)
{
    node_identity identity;
    identity.id = base::node_id(settings.node);
    identity.life = base::incarnation(base::clock::wallNow().count());
    identity.zone = base::zone_id(settings.zone);
    identity.peerAddress = settings.peerListen;
    return identity;
}

membership::signing_keys keysOf(const std::vector<std::string> &keys)
{
    return {keys.empty() ? std::string() : keys.front(), keys.size() > 1 ? keys[1] : std::string()};
}

net::http_server_limits limitsOf(const config::node_settings &settings)
{
    net::http_server_limits limits;
    limits.headerBytes = static_cast<std::uint32_t>(settings.headerLimit.count());
    limits.bodyBytes = static_cast<std::uint64_t>(settings.bodyLimit.count());
    limits.connections = static_cast<std::size_t>(settings.connectionLimit);
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
                              : base::hash64(identity.id.value(), static_cast<std::uint64_t>(identity.life.count()));
}

} // namespace

node_process::node_process(const config::node_settings &settings, settings_file &file)
    : m_settings(settings)
    , m_file(file)
    , m_identity(identityOf(settings))
    , m_context(1)
    , m_signer(std::make_shared<membership::message_signer>(keysOf(settings.keys)))
    , m_platform(httpPlatformClients(settings))
    , m_director(seedOf(settings, m_identity), directorSettings(settings))
    , m_metered(m_director, routing::director_settings().initialLimit)
    , m_control(m_context.get_executor(), settings, m_identity, m_platform, m_signer, m_metered)
    , m_day(m_context.get_executor(), m_identity, m_control, *m_platform.day)
    , m_callers(m_context.get_executor(), settings, m_identity, m_metered, m_control, m_platform, m_registry, m_day)
    , m_view(m_control.controlStream().state(), m_control.publishes(), m_control)
    , m_dayPage(m_day.days(), m_callers.handler())
    , m_health(m_readiness, m_registry, m_dayPage)
    , m_rpc(m_signer)
    , m_callerServer(std::make_shared<net::http_server>(m_context.get_executor(), m_health, limitsOf(settings)))
    , m_peerServer(std::make_shared<net::http_server>(m_context.get_executor(), m_rpc))
    , m_shutdown(m_context.get_executor(),
                 m_readiness,
                 *m_callerServer,
                 m_callers.open(),
                 {settings.balancerWait, settings.shutdownBound, handOverPatience},
                 [this] { return handOver(); })
    , m_signals(m_context, SIGTERM, SIGINT)
{
    m_control.serve(m_rpc);
    m_control.onPublish([this](const std::string &publishId) { m_day.recorder().publishSubmitted(publishId); });
    m_day.serve(m_rpc);
    addOperatorMethods();
    m_callers.metrics().watch(m_callers.open(), m_callers.gate(), *m_callerServer);
    m_readiness.setMissing("configuration");
    m_readiness.setMissing("hosts");
}

node_process::~node_process() = default;

std::optional<std::size_t> node_process::run()
{
    if (!listen()) {
        return std::nullopt;
    }
    LOG4CXX_INFO(logger,
                 "Node " << m_identity.id << " of zone " << m_identity.zone << " listens on " << m_settings.listen << ", for peers on " << m_settings.peerListen
                         << '.');
    m_control.start();
    m_callers.start();
    m_day.start();
    asio::co_spawn(m_context, watchReadiness(), asio::detached);
    asio::co_spawn(m_context, watchKeys(), asio::detached);
    waitForSignal();
    m_context.run();
    return m_cutOff;
}

bool node_process::listen()
{
    const std::optional<net::address> callers = net::parseAddress(m_settings.listen);
    const std::optional<net::address> peers = net::parseAddress(m_settings.peerListen);
    if (!callers || !peers) {
        fail(base::error_kind::settingInvalid, "listen and peerListen must be IP:PORT");
        return false;
    }
    if (!m_callerServer->listen(*callers)) {
        fail(m_callerServer->lastReason());
        return false;
    }
    if (!m_peerServer->listen(*peers)) {
        fail(m_peerServer->lastReason());
        return false;
    }
    return true;
}

void node_process::addOperatorMethods()
{
    m_rpc.add(std::make_shared<commands::publish_method>(m_view, m_control));
    m_rpc.add(std::make_shared<queries::publish_status_method>(m_view));
    m_rpc.add(std::make_shared<queries::status_method>(m_view));
    m_rpc.add(std::make_shared<queries::history_method>(m_view));
    m_rpc.add(std::make_shared<queries::diff_method>(m_view));
}

void node_process::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        ++m_signalsSeen;
        LOG4CXX_INFO(logger, "Signal " << signal << (m_signalsSeen == 1 ? ", stopping." : " again, open requests are cut off."));
        if (m_signalsSeen == 1) {
            startShutdown();
        } else {
            m_shutdown.cutOff();
        }
        waitForSignal();
    });
}

void node_process::startShutdown()
{
    asio::co_spawn(m_context, m_shutdown.run(), [this](const std::exception_ptr &, std::size_t cutOff) {
        m_cutOff = cutOff;
        LOG4CXX_INFO(logger, "Stopped, " << cutOff << " requests cut off.");
        m_context.stop();
    });
}

asio::awaitable<void> node_process::handOver()
{
    // Moves count at the endpoint's owner, which this node is until it hands its leases over.
    m_day.observe();
    co_await m_control.handOver(handOverPatience / 2);
    co_await m_day.stop(handOverPatience / 2);
}

asio::awaitable<void> node_process::watchReadiness()
{
    while (!m_readiness.isReady()) {
        if (m_control.hosts().isKnown()) {
            m_readiness.setMet("hosts");
        }
        // A node without any record yet is ready too: an empty configuration that was read to the log's head is a configuration.
        // One that has read only a part of the log is not: it could answer by an older configuration.
        const bool readToHead = m_control.controlStream().follower().lastAtHead() != base::time_point::min();
        if (readToHead || m_control.hasStateFromPeers()) {
            m_readiness.setMet("configuration");
        }
        if (m_readiness.isShuttingDown()) {
            co_return;
        }
        co_await net::sleepFor(readinessInterval);
    }
    LOG4CXX_INFO(logger, "Ready.");
}

asio::awaitable<void> node_process::watchKeys()
{
    while (true) {
        co_await net::sleepFor(keysInterval);
        const std::optional<std::vector<std::string>> keys = m_file.rereadKeys();
        if (keys) {
            m_signer->setKeys(keysOf(*keys));
            LOG4CXX_INFO(logger, "The keys have changed, " << keys->size() << " in use.");
        } else if (!m_file.lastReason().text.empty()) {
            LOG4CXX_WARN(logger, "The keys in the settings cannot be used, the old ones stay: " << m_file.lastReason().text);
        }
    }
}

} // namespace chervilbend::node
