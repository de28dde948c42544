#pragma once

#include <chervilbend/control/order_gateway.hpp>

namespace chervilbend::node
{

class day_recorder;

/// Forwards orders to another gateway and counts its answers for the daily page.
class counting_order_gateway : public control::order_gateway
{
public:
    /// Both must outlive the object.
    counting_order_gateway(control::order_gateway &inner, day_recorder &recorder);

    boost::asio::awaitable<control::order_answer> run(control::order_request order, dispatch_order dispatch) override;

private:
    control::order_gateway &m_inner;
    day_recorder &m_recorder;
};

} // namespace chervilbend::node
