#pragma once

#include <chervilbend/control/order_answer.hpp>
#include <chervilbend/control/order_request.hpp>
#include <chervilbend/node/callers/forwarding_plan.hpp>
#include <chervilbend/node/callers/route_target.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::control
{
class order_gateway;
}

namespace chervilbend::net
{
class http_client;
class http_exchange;
} // namespace chervilbend::net

namespace chervilbend::node
{

class admission;
class endpoint_directory;
class caller_metrics;
class open_requests;

/// Runs non-idempotent orders through the order gateway, each in a task that continues after its caller has disconnected.
class order_handler
{
public:
    /// Each order is registered in @p open until its task has ended, so that a shutdown waits for it even if its caller has disconnected.
    order_handler(control::order_gateway &gateway,
                  admission &requestAdmission,
                  endpoint_directory &endpoints,
                  net::http_client &client,
                  open_requests &open,
                  caller_metrics &metrics);

    /// Runs the order and responds to the caller if it is still connected.
    boost::asio::awaitable<void> handle(std::shared_ptr<net::http_exchange> exchange, route_target target, forwarding_plan plan);

private:
    struct order_task;

    boost::asio::awaitable<void> run(std::shared_ptr<order_task> task, std::shared_ptr<net::http_exchange> exchange, forwarding_plan plan);
    boost::asio::awaitable<control::order_answer> dispatch(std::shared_ptr<net::http_exchange> exchange, forwarding_plan plan);

    control::order_gateway &m_gateway;
    admission &m_admission;
    endpoint_directory &m_endpoints;
    net::http_client &m_client;
    open_requests &m_open;
    caller_metrics &m_metrics;
};

} // namespace chervilbend::node
