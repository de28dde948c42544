#include <chervilbend/measure/simulation/control_node.hpp>

#include <chervilbend/control/endpoint_driver_pool.hpp>
#include <chervilbend/control/log_appender.hpp>
#include <chervilbend/control/log_entry_sink.hpp>
#include <chervilbend/control/log_follower.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::measure
{

struct control_node::components {
    components(asio::io_context &context, std::shared_ptr<fakes::log_store> store, base::node_id node, base::incarnation incarnation, std::uint64_t seed)
        : log(std::move(store))
        , engines(seed)
        , follower(context.get_executor(), log, state)
        , appender(context.get_executor(), log)
        , sink(context.get_executor(), appender, follower)
        , leases(std::move(node), incarnation, state, sink, sink)
        , drivers(state, leases, engines, sink)
    {
        leases.setOutstandingCommandsCheck([this] { return drivers.hasOutstandingLoadsWithoutLease(); });
        follower.start();
    }

    fakes::in_process_log_service log;
    fakes::in_process_engine_control engines;
    state::replicated_state state;
    control::log_follower follower;
    control::log_appender appender;
    control::log_entry_sink sink;
    control::lease_manager leases;
    control::endpoint_driver_pool drivers;
};

control_node::control_node(simulated_time &time,
                           std::shared_ptr<fakes::log_store> store,
                           base::node_id node,
                           base::incarnation incarnation,
                           std::vector<base::node_id> candidates,
                           std::uint64_t seed)
    : m_time(time)
    , m_context(std::make_unique<asio::io_context>(1))
{
    m_components = std::make_unique<components>(*m_context, std::move(store), std::move(node), incarnation, seed);
    asio::co_spawn(*m_context, m_components->leases.run([candidates = std::move(candidates)] { return candidates; }), asio::detached);
    asio::co_spawn(*m_context, m_components->drivers.run(), asio::detached);
    m_time.add(*m_context);
}

control_node::~control_node()
{
    m_time.remove(*m_context);
}

void control_node::setPaused(bool paused)
{
    m_paused = paused;
    m_time.setPaused(*m_context, paused);
}

bool control_node::isPaused() const
{
    return m_paused;
}

fakes::in_process_log_service &control_node::log()
{
    return m_components->log;
}

fakes::in_process_engine_control &control_node::engines()
{
    return m_components->engines;
}

const state::replicated_state &control_node::state() const
{
    return m_components->state;
}

const control::lease_manager &control_node::leases() const
{
    return m_components->leases;
}

control::entry_sink &control_node::sink()
{
    return m_components->sink;
}

} // namespace chervilbend::measure
