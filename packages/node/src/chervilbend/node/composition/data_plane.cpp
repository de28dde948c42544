#include <chervilbend/node/composition/data_plane.hpp>

#include <chervilbend/control/host_watcher.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/node/composition/control_plane.hpp>
#include <chervilbend/node/composition/daily_statistics.hpp>
#include <chervilbend/node/composition/external_clients.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <map>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

/// The one-way latency between zones is about 4 ms (docs/design.md, current sizes).
constexpr double crossZoneRoundTripMs = 8;
constexpr base::milliseconds suspicionExchangeInterval{200};
/// Maximum time between two updates of the routing state, for changes that append no record to the log, such as those of membership.
constexpr base::milliseconds maxStateInterval{1'000};

control::log_order_gateway::options gatewayOptions(const config::node_settings &settings, const node_identity &identity, const control_plane &control)
{
    control::log_order_gateway::options options;
    options.node = identity.id;
    options.incarnation = identity.incarnation;
    options.keyLifetime = settings.keyLifetime;
    options.hasEnded = [&control](const base::node_id &node, base::incarnation incarnation) {
        return control.hasEnded(node, incarnation);
    };
    return options;
}

} // namespace

data_plane::data_plane(const asio::any_io_executor &executor,
                       const config::node_settings &settings,
                       const node_identity &identity,
                       metered_director &director,
                       control_plane &control,
                       external_clients &clients,
                       base::metric_registry &metrics,
                       daily_statistics &statistics)
    : m_director(director)
    , m_control(control)
    , m_executor(executor)
    , m_metrics(metrics)
    , m_admission(executor, director)
    , m_orderGateway(executor, gatewayOptions(settings, identity, control), control.ordersStream().appender(), control.ordersStream().follower())
    , m_countingOrderGateway(m_orderGateway, statistics.recorder())
    , m_catalog([&control]() -> const service_catalog::service_map & { return control.controlStream().state().services(); })
    , m_forwarder(m_admission, m_directory, m_client, m_metrics)
    , m_orderHandler(m_countingOrderGateway, m_admission, m_directory, m_client, m_openRequests, m_metrics)
    , m_api(m_catalog, m_forwarder, m_orderHandler, m_openRequests, m_metrics)
    , m_routingFeed(director, m_directory, control.controlStream().state(), identity.zone, crossZoneRoundTripMs)
    , m_reportPoller(executor, *clients.engines, settings.reportInterval)
{
    m_forwarder.setResponseLimit(settings.bufferLimit);
    m_routingFeed.onChange([this] { m_admission.deliverDecisions(); });
    m_director.setListener(&statistics.recorder());
    m_reportPoller.addListener(m_routingFeed);
    m_reportPoller.addListener(statistics);
    control.hosts().addListener(m_routingFeed);
    control.hosts().addListener(m_reportPoller);
}

void data_plane::start()
{
    asio::co_spawn(m_executor, refreshRouting(), asio::detached);
    asio::co_spawn(m_executor, exchangeSuspicions(), asio::detached);
    asio::co_spawn(m_executor, watchForPauses(), asio::detached);
}

asio::awaitable<void> data_plane::refreshRouting()
{
    while (true) {
        m_routingFeed.stateChanged();
        m_director.setNodeCount(static_cast<int>(std::max<std::size_t>(1, m_control.members().live().size())));
        co_await m_control.controlStream().follower().waitForChange(base::clock::now() + maxStateInterval);
    }
}

asio::awaitable<void> data_plane::watchForPauses()
{
    while (true) {
        m_director.checkForPause();
        co_await net::sleepFor(routing::traffic_director::pauseCheckInterval);
    }
}

asio::awaitable<void> data_plane::exchangeSuspicions()
{
    std::map<std::uint64_t, int> announced;
    while (true) {
        for (const auto &[fingerprint, crashes] : m_director.suspicions()) {
            if (announced[fingerprint] < crashes) {
                announced[fingerprint] = crashes;
                m_control.prober().broadcastSuspicion({fingerprint, crashes});
            }
        }
        for (const membership::crash_suspicion &suspicion : m_control.members().crashSuspicions()) {
            m_director.mergeRemoteSuspicion(suspicion.fingerprint, suspicion.crashes);
        }
        co_await net::sleepFor(suspicionExchangeInterval);
    }
}

} // namespace chervilbend::node
