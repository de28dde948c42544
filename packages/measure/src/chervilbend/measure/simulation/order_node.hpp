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

/// A call of an order gateway from the caller's point of view.
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

/// The part of a node that runs non-idempotent orders, as a simulated process. Destroying it simulates a kill.
class order_node
{
public:
    using ended_query = std::function<bool(const base::node_id &, base::incarnation)>;

    order_node(
        simulated_time &time, std::shared_ptr<fakes::log_store> store, const base::node_id &node, base::incarnation incarnation, ended_query hasEnded = {});
    ~order_node();
    order_node(const order_node &) = delete;
    order_node &operator=(const order_node &) = delete;

    /// Starts a call of the node's order gateway.
    std::shared_ptr<order_call> call(control::order_request order, control::order_gateway::dispatch_order dispatch);

    void setPaused(bool paused);
    bool isPaused() const;
    fakes::in_process_log_service &log();
    control::log_follower &follower();
    control::log_appender &appender();
    control::log_order_gateway &gateway();

private:
    struct components;

    simulated_time &m_time;
    bool m_paused = false;
    std::unique_ptr<components> m_components;
    /// Destroyed first, because its pending tasks use m_components.
    std::unique_ptr<boost::asio::io_context> m_context;
};

} // namespace chervilbend::measure
