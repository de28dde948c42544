#pragma once

#include <chervilbend/control/order_gateway.hpp>

#include <optional>
#include <vector>

namespace chervilbend::node::test
{

/// Dispatches every order once, unless it has a recorded answer, and records the orders and their results.
class test_gateway : public control::order_gateway
{
public:
    boost::asio::awaitable<control::order_answer> run(control::order_request order, dispatch_order dispatch) override
    {
        orders.push_back(order);
        if (recorded) {
            co_return *recorded;
        }
        control::order_answer answer = co_await dispatch();
        answers.push_back(answer);
        co_return answer;
    }

    std::vector<control::order_request> orders;
    std::vector<control::order_answer> answers;
    /// The answer of an earlier attempt; orders are not dispatched then.
    std::optional<control::order_answer> recorded;
};

} // namespace chervilbend::node::test
