#include <chervilbend/net/sleep.hpp>

#include <chervilbend/net/timer.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace chervilbend::net
{

asio::awaitable<void> sleepFor(base::milliseconds duration)
{
    timer pause(co_await asio::this_coro::executor);
    pause.expires_after(duration);
    co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace chervilbend::net
