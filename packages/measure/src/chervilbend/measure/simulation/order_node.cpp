#include <chervilbend/measure/simulation/order_node.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::measure
{

namespace
{

control::log_order_gateway::options gatewayOptions(const base::node_id &node, base::incarnation life, order_node::life_query hasEnded)
{
    control::log_order_gateway::options options;
    options.node = node;
    options.incarnation = life;
    options.hasEnded = std::move(hasEnded);
    return options;
}

control::log_follower_options followerOptions()
{
    control::log_follower_options options;
    options.stream = "orders";
    return options;
}

/// Tells the caller that the connection broke when the task is destroyed before its end.
class connection_end
{
public:
    explicit connection_end(std::shared_ptr<order_call> call)
        : m_call(std::move(call))
    {
    }

    ~connection_end()
    {
        m_call->isBroken = !m_call->answer;
    }

    connection_end(const connection_end &) = delete;
    connection_end &operator=(const connection_end &) = delete;

private:
    std::shared_ptr<order_call> m_call;
};

asio::awaitable<void>
    serve(control::log_order_gateway &gateway, control::order_request order, control::order_gateway::dispatch_order dispatch, std::shared_ptr<order_call> call)
{
    const connection_end end(call);
    call->answer = co_await gateway.run(std::move(order), std::move(dispatch));
}

} // namespace

struct order_node::parts {
    parts(asio::io_context &context, std::shared_ptr<fakes::log_store> store, control::log_order_gateway::options options)
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

order_node::order_node(simulated_time &time, std::shared_ptr<fakes::log_store> store, const base::node_id &node, base::incarnation life, life_query hasEnded)
    : m_time(time)
    , m_context(std::make_unique<asio::io_context>(1))
{
    m_parts = std::make_unique<parts>(*m_context, std::move(store), gatewayOptions(node, life, std::move(hasEnded)));
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
    asio::co_spawn(*m_context, serve(m_parts->gateway, std::move(order), std::move(dispatch), call), asio::detached);
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
    return m_parts->log;
}

control::log_follower &order_node::follower()
{
    return m_parts->follower;
}

control::log_appender &order_node::appender()
{
    return m_parts->appender;
}

control::log_order_gateway &order_node::gateway()
{
    return m_parts->gateway;
}

} // namespace chervilbend::measure
