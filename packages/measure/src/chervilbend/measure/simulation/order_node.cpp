#include <chervilbend/measure/simulation/order_node.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::measure
{

namespace
{

control::log_order_gateway::options gatewayOptions(const base::node_id &node, base::incarnation incarnation, order_node::ended_query hasEnded)
{
    control::log_order_gateway::options options;
    options.node = node;
    options.incarnation = incarnation;
    options.hasEnded = std::move(hasEnded);
    return options;
}

control::log_follower_options followerOptions()
{
    control::log_follower_options options;
    options.stream = "orders";
    return options;
}

/// Marks the call's connection as broken if the task is destroyed before there is an answer.
class broken_connection_guard
{
public:
    explicit broken_connection_guard(std::shared_ptr<order_call> call)
        : m_call(std::move(call))
    {
    }

    ~broken_connection_guard()
    {
        m_call->isBroken = !m_call->answer;
    }

    broken_connection_guard(const broken_connection_guard &) = delete;
    broken_connection_guard &operator=(const broken_connection_guard &) = delete;

private:
    std::shared_ptr<order_call> m_call;
};

asio::awaitable<void>
    serve(control::log_order_gateway &gateway, control::order_request order, control::order_gateway::dispatch_order dispatch, std::shared_ptr<order_call> call)
{
    const broken_connection_guard end(call);
    call->answer = co_await gateway.run(std::move(order), std::move(dispatch));
}

} // namespace

struct order_node::components {
    components(asio::io_context &context, std::shared_ptr<fakes::log_store> store, control::log_order_gateway::options options)
        : log(std::move(store))
        , follower(context.get_executor(), log, state, followerOptions())
        , appender(context.get_executor(), log)
        , gateway(context.get_executor(), std::move(options), appender, follower)
    {
        follower.start();
    }

    fakes::in_process_log_service log;
    state::replicated_state state;
    control::log_follower follower;
    control::log_appender appender;
    control::log_order_gateway gateway;
};

order_node::order_node(
    simulated_time &time, std::shared_ptr<fakes::log_store> store, const base::node_id &node, base::incarnation incarnation, ended_query hasEnded)
    : m_time(time)
    , m_context(std::make_unique<asio::io_context>(1))
{
    m_components = std::make_unique<components>(*m_context, std::move(store), gatewayOptions(node, incarnation, std::move(hasEnded)));
    m_time.add(*m_context);
}

order_node::~order_node()
{
    m_time.remove(*m_context);
}

std::shared_ptr<order_call> order_node::call(control::order_request order, control::order_gateway::dispatch_order dispatch)
{
    auto call = std::make_shared<order_call>();
    order.callerHasLeft = [call] {
        return call->isClosed;
    };
    asio::co_spawn(*m_context, serve(m_components->gateway, std::move(order), std::move(dispatch), call), asio::detached);
    return call;
}

void order_node::setPaused(bool paused)
{
    m_paused = paused;
    m_time.setPaused(*m_context, paused);
}

bool order_node::isPaused() const
{
    return m_paused;
}

fakes::in_process_log_service &order_node::log()
{
    return m_components->log;
}

control::log_follower &order_node::follower()
{
    return m_components->follower;
}

control::log_appender &order_node::appender()
{
    return m_components->appender;
}

control::log_order_gateway &order_node::gateway()
{
    return m_components->gateway;
}

} // namespace chervilbend::measure
