#include <chervilbend/node/composition/caller_side.hpp>

#include <chervilbend/control/host_watcher.hpp>
#include <chervilbend/net/sleep.hpp>
#include <chervilbend/node/composition/control_plane.hpp>
#include <chervilbend/node/composition/day_side.hpp>
#include <chervilbend/node/composition/platform_clients.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <map>

namespace asio = boost::asio;

namespace chervilbend::node
{

namespace
{

/// Zones lie about 4 ms apart one way (docs/design.md, current sizes).
constexpr double crossZoneRoundTripMs = 8;
constexpr base::milliseconds suspicionInterval{200};
/// Wakes the task that follows the state at least so often, for what changes without a record.
constexpr base::milliseconds stateInterval{1'000};

control::log_order_gateway::options gatewayOptions(const config::node_settings &settings, const node_identity &identity, const control_plane &control)
{
    control::log_order_gateway::options options;
    options.node = identity.id;
    options.life = identity.life;
    options.keyLifetime = settings.keyLifetime;
    options.hasEnded = [&control](const base::node_id &node, base::incarnation life) {
        return control.hasEnded(node, life);
    };
    return options;
}

} // namespace

caller_side::caller_side(const asio::any_io_executor &executor,
                         const config::node_settings &settings,
                         const node_identity &identity,
                         metered_director &director,
                         control_plane &control,
                         platform_clients &platform,
                         base::metric_registry &metrics,
                         day_side &day)
    : m_director(director)
    , m_control(control)
    , m_executor(executor)
    , m_metrics(metrics)
    , m_admission(executor, director)
    , m_gateway(executor, gatewayOptions(settings, identity, control), control.ordersStream().appender(), control.ordersStream().follower())
    , m_countingGateway(m_gateway, day.recorder())
    , m_catalog([&control]() -> const service_catalog::service_map & { return control.controlStream().state().services(); })
    , m_forwarder(m_admission, m_directory, m_client, m_metrics)
    , m_orders(m_countingGateway, m_admission, m_directory, m_client, m_open, m_metrics)
    , m_api(m_catalog, m_forwarder, m_orders, m_open, m_metrics)
    , m_feed(director, m_directory, control.controlStream().state(), identity.zone, crossZoneRoundTripMs)
    , m_reports(executor, *platform.engines, settings.reportInterval)
{
    m_feed.onChange([this] { m_admission.deliverDecisions(); });
    m_director.setListener(&day.recorder());
    m_reports.addListener(m_feed);
    m_reports.addListener(day);
    control.hosts().addListener(m_feed);
    control.hosts().addListener(m_reports);
}

void caller_side::start()
{
    asio::co_spawn(m_executor, followState(), asio::detached);
    asio::co_spawn(m_executor, exchangeSuspicions(), asio::detached);
    asio::co_spawn(m_executor, tellRunning(), asio::detached);
}

asio::awaitable<void> caller_side::followState()
{
    while (true) {
        m_feed.stateChanged();
        m_director.setNodeCount(static_cast<int>(std::max<std::size_t>(1, m_control.members().live().size())));
        co_await m_control.controlStream().follower().waitForChange(base::clock::now() + stateInterval);
    }
}

asio::awaitable<void> caller_side::tellRunning()
{
    while (true) {
        m_director.noteRunning();
        co_await net::sleepFor(routing::traffic_director::runningInterval);
    }
}

asio::awaitable<void> caller_side::exchangeSuspicions()
{
    std::map<std::uint64_t, int> told;
    while (true) {
        for (const auto &[fingerprint, crashes] : m_director.suspicions()) {
            if (told[fingerprint] < crashes) {
                told[fingerprint] = crashes;
                m_control.prober().spread({fingerprint, crashes});
            }
        }
        for (const membership::crash_suspicion &known : m_control.members().crashSuspicions()) {
            m_director.learnSuspicion(known.fingerprint, known.crashes);
        }
        co_await net::sleepFor(suspicionInterval);
    }
}

} // namespace chervilbend::node
