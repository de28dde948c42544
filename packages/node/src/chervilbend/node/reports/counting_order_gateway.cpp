#include <chervilbend/node/reports/counting_order_gateway.hpp>

#include <chervilbend/node/reports/day_recorder.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::node
{

counting_order_gateway::counting_order_gateway(control::order_gateway &inner, day_recorder &recorder)
    : m_inner(inner)
    , m_recorder(recorder)
{
}

asio::awaitable<control::order_answer> counting_order_gateway::run(control::order_request order, dispatch_order dispatch)
{
    const std::string route = order.route;
    control::order_answer answer = co_await m_inner.run(std::move(order), std::move(dispatch));
    if (!answer.replayed) {
        m_recorder.orderEnded(route, answer.state);
    }
    co_return answer;
}

} // namespace chervilbend::node
