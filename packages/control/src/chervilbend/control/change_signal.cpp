#include <chervilbend/control/change_signal.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::control
{

void change_signal::notify()
{
    for (const std::weak_ptr<net::timer> &waiting : std::exchange(m_waiting, {})) {
        if (const auto timer = waiting.lock()) {
            timer->cancel();
        }
    }
}

asio::awaitable<bool> change_signal::wait(base::time_point until)
{
    const auto timer = std::make_shared<net::timer>(co_await asio::this_coro::executor);
    timer->expires_at(std::min(until, net::distantFuture));
    m_waiting.push_back(timer);
    const auto [error] = co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    if (!error) {
        std::erase_if(m_waiting, [&](const std::weak_ptr<net::timer> &each) { return each.expired() || each.lock() == timer; });
    }
    co_return error == asio::error::operation_aborted;
}

} // namespace chervilbend::control
