#include <chervilbend/net/change_signal.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::net
{

void change_signal::notify()
{
    for (const std::weak_ptr<timer> &waiting : std::exchange(m_waiting, {})) {
        if (const auto wakeup = waiting.lock()) {
            wakeup->cancel();
        }
    }
}

asio::awaitable<bool> change_signal::wait(base::time_point until)
{
    const auto wakeup = std::make_shared<timer>(co_await asio::this_coro::executor);
    wakeup->expires_at(std::min(until, distantFuture));
    m_waiting.push_back(wakeup);
    const auto [error] = co_await wakeup->async_wait(asio::as_tuple(asio::use_awaitable));
    if (!error) {
        std::erase_if(m_waiting, [&](const std::weak_ptr<timer> &waiting) { return waiting.expired() || waiting.lock() == wakeup; });
    }
    co_return error == asio::error::operation_aborted;
}

} // namespace chervilbend::net
