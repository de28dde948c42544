#pragma once

#include <chervilbend/control/order_answer.hpp>
#include <chervilbend/control/order_request.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace chervilbend::control
{

/// Runs orders at most once per idempotency key, regardless of the nodes through which their attempts are sent.
class order_gateway
{
public:
    /// Sends the order to an endpoint. Called at most once, by the attempt that holds the claim. The state of the answer is notRun only if no
    /// byte was written to any endpoint.
    using dispatch_order = std::function<boost::asio::awaitable<order_answer>()>;

    virtual ~order_gateway() = default;

    /// Runs the order or determines the outcome of an earlier attempt, until the order's deadline. Must not be cancelled when the caller
    /// disconnects.
    virtual boost::asio::awaitable<order_answer> run(order_request order, dispatch_order dispatch) = 0;
};

} // namespace chervilbend::control
