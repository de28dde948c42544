#include <chervilbend/node/composition/platform_node.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/base/log_event.hpp>
#include <chervilbend/net/http_server.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/platform/store_client.hpp>

#include <string>
#include <string_view>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

constexpr base::milliseconds loadReportInterval{1'000};
/// Time after the start from which a node that is not ready logs what it waits for, and the interval of these lines.
constexpr base::milliseconds usualStartTime{2'000};
constexpr base::milliseconds notReadyInterval{5'000};
constexpr base::milliseconds readinessCheckInterval{100};
/// Lateness of the event loop from which a node that does not hold the lease logs its load.
constexpr base::milliseconds noticeableLoopLag{250};

const log4cxx::LoggerPtr &nodeLog()
{
    static const log4cxx::LoggerPtr logger = base::partLogger("node");
    return logger;
}

/// @p duration in seconds, as metrics have it.
double inSeconds(base::milliseconds duration)
{
    constexpr double millisecondsPerSecond = 1'000;
    return static_cast<double>(duration.count()) / millisecondsPerSecond;
}

} // namespace

void platform_node::registerMetrics()
{
    m_metrics.registerGauges(m_openRequests, m_admission, *m_callerServer);
    m_storeClient->setCallListener([this](std::string_view call, int status) {
        m_registry
            .counterFor("chervilbend_store_calls_total",
                        "Calls to the platform's store by call and status, 0 for no answer",
                        {{"call", std::string(call)}, {"status", std::to_string(status)}})
            .add();
    });
    const auto ageSeconds = [](base::time_point since) {
        return inSeconds(base::clock::now() - since);
    };
    m_registry.gaugeFor("chervilbend_configuration_version", "Version of the configuration in force").readFrom([this] {
        return m_configuration.current() ? static_cast<double>(m_configuration.current()->version) : 0.0;
    });
    m_registry.gaugeFor("chervilbend_configuration_record_bytes", "Size of the configuration in force, as a record of the store").readFrom([this] {
        return static_cast<double>(m_configuration.record().size());
    });
    m_registry
        .gaugeFor("chervilbend_configuration_records_behind", "Records of the configuration that are known to be in the store and that this node has not read")
        .readFrom([this] { return static_cast<double>(m_configuration.recordsBehind().value_or(0)); });
    base::counter &configurationsFromNodes = m_registry.counterFor(
        "chervilbend_configurations_from_nodes_total", "Versions of the configuration that were taken from another node, because the store could not be read");
    m_configuration.onTakenFromNode([&configurationsFromNodes] { configurationsFromNodes.add(); });
    m_registry.gaugeFor("chervilbend_configuration_age_seconds", "Since the store last confirmed the configuration").readFrom([this, ageSeconds] {
        return ageSeconds(m_configuration.confirmedAt());
    });
    m_registry.gaugeFor("chervilbend_registrations_age_seconds", "Since the endpoints' registrations were last read").readFrom([this, ageSeconds] {
        return ageSeconds(m_endpointFollower.readAt().steady);
    });
    m_registry.gaugeFor("chervilbend_event_loop_lag_seconds", "By how much the event loop's handlers are late").readFrom([this] {
        return inSeconds(m_loopMonitor.lag());
    });
    m_registry.gaugeFor("chervilbend_endpoints", "Endpoints that are registered").readFrom([this] {
        return static_cast<double>(m_endpoints.endpoints().size());
    });
    m_registry.gaugeFor("chervilbend_kept_response_bytes", "Memory for responses that are kept until they can be forwarded").readFrom([this] {
        return static_cast<double>(m_forwarder.keptBytes());
    });
    m_registry.gaugeFor("chervilbend_request_body_bytes", "Memory for requests that are being read or answered").readFrom([this] {
        return static_cast<double>(m_callerServer->requestBytes());
    });
    for (const std::string &condition : m_readiness.missing()) {
        m_registry.gaugeFor("chervilbend_readiness_missing", "1 while this condition of readiness is missing, 0 otherwise", {{"condition", condition}})
            .readFrom([this, condition] { return m_readiness.missing().contains(condition) ? 1.0 : 0.0; });
    }
    m_registry.gaugeFor("chervilbend_stranded", "1 while this node reaches no endpoint, 0 otherwise").readFrom([this] {
        return m_reachability.isStranded() ? 1.0 : 0.0;
    });
    m_registry.gaugeFor("chervilbend_refused_prompt_parts", "Prompt parts that are refused because endpoints were lost on them").readFrom([this] {
        return static_cast<double>(m_knowledge.promptParts->refusedParts());
    });
    m_registry.gaugeFor("chervilbend_rate_limited_endpoints", "Endpoints that allow only a limited rate of requests").readFrom([this] {
        return static_cast<double>(m_knowledge.rateLimits->limitedEndpoints());
    });
    m_registry.gaugeFor("chervilbend_command_lease_held", "1 while this node may command the engines").readFrom([this] {
        return m_lease.mayCommand() ? 1.0 : 0.0;
    });
    m_registry.gaugeFor("chervilbend_engine_commands", "Commands sent to engines since the start").readFrom([this] {
        return static_cast<double>(m_controller.dispatcher().sent());
    });
    m_registry.gaugeFor("chervilbend_model_loads", "Loads of models among the commands").readFrom([this] {
        return static_cast<double>(m_controller.dispatcher().modelLoads());
    });
    m_registry.gaugeFor("chervilbend_endpoint_connections_opened", "Connections opened to endpoints since the start").readFrom([this] {
        return static_cast<double>(m_client.connectionsOpened());
    });
}

asio::awaitable<void> platform_node::reportReadiness()
{
    const base::time_point startedAt = base::clock::now();
    base::time_point nextLineAt = startedAt + usualStartTime;
    const auto sinceStart = [startedAt] {
        return (base::clock::now() - startedAt).count();
    };
    while (!m_readiness.isReady()) {
        if (m_readiness.isShuttingDown()) {
            co_return;
        }
        if (base::clock::now() >= nextLineAt) {
            LOG4CXX_WARN(nodeLog(), base::log_event("notReady").with("missing", m_readiness.missingText()).with("sinceStartMs", sinceStart()).text());
            nextLineAt += notReadyInterval;
        }
        co_await net::sleepFor(readinessCheckInterval);
    }
    LOG4CXX_INFO(nodeLog(), base::log_event("ready").with("sinceStartMs", sinceStart()).text());
}

asio::awaitable<void> platform_node::reportLoad()
{
    while (true) {
        co_await net::sleepFor(loadReportInterval);
        const base::milliseconds lag = m_loopMonitor.takeMaximum();
        const fleet::exchange_counts counts = m_exchangeMethod->takeCounts();
        if (!m_lease.isHolder() && lag < noticeableLoopLag) {
            continue;
        }
        LOG4CXX_INFO(nodeLog(),
                     base::log_event("load")
                         .with("holder", m_lease.isHolder())
                         .with("loopLagMs", lag.count())
                         .with("reports", counts.reports)
                         .with("snapshots", counts.snapshots)
                         .with("engines", counts.engines)
                         .with("registrations", counts.registrations)
                         .with("peerConnections", m_peerServer->openConnections())
                         .with("openRequests", m_openRequests.size())
                         .with("configurationAgeMs", (base::clock::now() - m_configuration.confirmedAt()).count())
                         .with("registrationsAgeMs", (base::clock::now() - m_endpointFollower.readAt().steady).count())
                         .text());
    }
}

} // namespace chervilbend::node
