#include <chervilbend/net/connect_probe.hpp>

#include <chervilbend/net/change_signal.hpp>
#include <chervilbend/net/connection.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstddef>
#include <memory>

namespace asio = boost::asio;

namespace chervilbend::net
{

namespace
{

/// Shared by the attempts, which may end after the probe.
struct probe_state {
    std::size_t pending = 0;
    bool isAccepted = false;
    change_signal changed;
};

asio::awaitable<void> tryToConnect(address server, base::milliseconds timeout, std::shared_ptr<probe_state> state)
{
    boost::system::error_code invalid;
    const auto ipAddress = asio::ip::make_address(server.ip, invalid);
    if (!invalid) {
        const auto opened = std::make_shared<connection>(asio::ip::tcp::socket(co_await asio::this_coro::executor));
        opened->expireAfter(timeout);
        const auto [error] = co_await opened->socket().async_connect({ipAddress, server.port}, asio::as_tuple(asio::use_awaitable));
        state->isAccepted = state->isAccepted || !error;
        opened->close();
    }
    --state->pending;
    state->changed.notify();
}

} // namespace

asio::awaitable<bool> canConnectToAny(std::vector<address> servers, base::milliseconds timeout)
{
    const auto state = std::make_shared<probe_state>();
    const base::time_point until = base::clock::now() + timeout;
    const auto executor = co_await asio::this_coro::executor;
    state->pending = servers.size();
    for (const address &server : servers) {
        asio::co_spawn(executor, tryToConnect(server, timeout, state), asio::detached);
    }
    while (!state->isAccepted && state->pending > 0 && base::clock::now() < until) {
        co_await state->changed.wait(until);
    }
    co_return state->isAccepted;
}

} // namespace chervilbend::net
