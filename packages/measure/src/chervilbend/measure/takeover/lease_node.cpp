#include <chervilbend/measure/takeover/lease_node.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace chervilbend::measure
{

struct lease_node::parts {
    parts(boost::asio::io_context &context, std::shared_ptr<fakes::log_store> store, const base::node_id &node, base::incarnation life)
        : log(std::move(store))
        , follower(context.get_executor(), log, state)
        , appender(context.get_executor(), log)
        , sink(context.get_executor(), appender, follower)
        , keeper(node, life, state, sink, sink)
    {
    }

    std::vector<base::node_id> eligible;
    state::replicated_state state;
    fakes::in_process_log_service log;
    control::log_follower follower;
    control::log_appender appender;
    control::log_entry_sink sink;
    control::lease_manager keeper;
};

lease_node::lease_node(simulated_time &time, std::shared_ptr<fakes::log_store> store, const base::node_id &node, base::incarnation life)
    : m_time(time)
    , m_context(std::make_unique<boost::asio::io_context>())
{
    m_parts = std::make_unique<parts>(*m_context, std::move(store), node, life);
    m_parts->follower.start();
    boost::asio::co_spawn(*m_context, m_parts->keeper.run([each = m_parts.get()] { return each->eligible; }), boost::asio::detached);
    m_time.add(*m_context);
}

lease_node::~lease_node()
{
    m_time.remove(*m_context);
}

void lease_node::setEligible(std::vector<base::node_id> eligible)
{
    m_parts->eligible = std::move(eligible);
}

void lease_node::stop()
{
    m_parts->keeper.stop();
}

bool lease_node::holds(const base::lease_name &name) const
{
    return m_parts->keeper.holds(name);
}

} // namespace chervilbend::measure
