#include <chervilbend/control/log_order_gateway.hpp>

#include <chervilbend/control/internal/log_order_gateway_implementation.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::control
{

log_order_gateway::log_order_gateway(asio::any_io_executor executor, options settings, log_appender &appender, log_follower &follower)
    : m_implementation(std::make_shared<implementation>(std::move(executor), std::move(settings), appender, follower))
{
}

log_order_gateway::~log_order_gateway() = default;

asio::awaitable<order_answer> log_order_gateway::run(order_request order, dispatch_order dispatch)
{
    return m_implementation->run(std::move(order), std::move(dispatch));
}

std::size_t log_order_gateway::unrecordedOutcomes() const
{
    return m_implementation->unrecordedOutcomes();
}

} // namespace chervilbend::control
