#include <chervilbend/measure/takeover/lease_node.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace chervilbend::measure
{

struct lease_node::components {
    components(boost::asio::io_context &context, std::shared_ptr<fakes::log_store> store, const base::node_id &node, base::incarnation incarnation)
        : log(std::move(store))
        , follower(context.get_executor(), log, state)
        , appender(context.get_executor(), log)
        , sink(context.get_executor(), appender, follower)
        , leases(node, incarnation, state, sink, sink)
    {
    }

    std::vector<base::node_id> eligible;
    state::replicated_state state;
    fakes::in_process_log_service log;
    control::log_follower follower;
    control::log_appender appender;
    control::log_entry_sink sink;
    control::lease_manager leases;
};

lease_node::lease_node(simulated_time &time, std::shared_ptr<fakes::log_store> store, const base::node_id &node, base::incarnation incarnation)
    : m_time(time)
    , m_context(std::make_unique<boost::asio::io_context>())
{
    m_components = std::make_unique<components>(*m_context, std::move(store), node, incarnation);
    m_components->follower.start();
    boost::asio::co_spawn(*m_context, m_components->leases.run([members = m_components.get()] { return members->eligible; }), boost::asio::detached);
    m_time.add(*m_context);
}

lease_node::~lease_node()
{
    m_time.remove(*m_context);
}

void lease_node::setEligible(std::vector<base::node_id> eligible)
{
    m_components->eligible = std::move(eligible);
}

void lease_node::stop()
{
    m_components->leases.stop();
}

bool lease_node::holds(const base::lease_name &name) const
{
    return m_components->leases.holds(name);
}

} // namespace chervilbend::measure
