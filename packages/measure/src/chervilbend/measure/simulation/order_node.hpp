#pragma once

#include <chervilbend/control/log_appender.hpp>
#include <chervilbend/control/log_follower.hpp>
#include <chervilbend/control/log_order_gateway.hpp>
#include <chervilbend/fakes/in_process_log_service.hpp>
#include <chervilbend/measure/simulation/simulated_time.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace chervilbend::measure
{

/// A call of a gateway as its caller sees it.
struct order_call {
    std::optional<control::order_answer> answer;
    /// The connection broke without an answer.
    bool isBroken = false;
    /// The caller has given up and closed the connection.
    bool isClosed = false;

    bool isOver() const
    {
        return answer || isBroken;
    }
};

/// The part of a node that runs non-idempotent orders, as a process of a simulation. Destroying it kills the process.
class order_node
{
public:
    using life_query = std::function<bool(const base::node_id &, base::incarnation)>;

    order_node(simulated_time &time, std::shared_ptr<fakes::log_store> store, const base::node_id &node, base::incarnation life, life_query hasEnded = {});
    ~order_node();
    order_node(const order_node &) = delete;
    order_node &operator=(const order_node &) = delete;

    /// Starts a call at the node's gateway.
    std::shared_ptr<order_call> call(control::order_request order, control::order_gateway::dispatch_order dispatch);

    void setPaused(bool paused);
    bool isPaused() const;
    fakes::in_process_log_service &log();
    control::log_follower &follower();
    control::log_appender &appender();
    control::log_order_gateway &gateway();

private:
    struct parts;

    simulated_time &m_time;
    bool m_paused = false;
    std::unique_ptr<parts> m_parts;
    /// Destroyed first: the tasks that it holds use the parts.
    std::unique_ptr<boost::asio::io_context> m_context;
};

} // namespace chervilbend::measure
