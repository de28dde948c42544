#include <chervilbend/fakes/platform/fault_relay.hpp>

#include <chervilbend/net/sleep.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstddef>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fakes
{

namespace
{

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr base::milliseconds holdPollInterval{5};
constexpr std::size_t blockBytes = 16 * 1024;

void reset(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct fault_relay::link {
    explicit link(asio::ip::tcp::socket connected)
        : caller(std::move(connected))
        , server(caller.get_executor())
    {
    }

    asio::ip::tcp::socket caller;
    asio::ip::tcp::socket server;
    bool isSilent = false;
};

fault_relay::fault_relay(const asio::any_io_executor &executor, std::uint16_t port, std::uint16_t target)
    : m_acceptor(executor, {asio::ip::address_v4::loopback(), port})
    , m_target(target)
{
    asio::co_spawn(executor, accept(), asio::detached);
}

void fault_relay::silence()
{
    for (const std::weak_ptr<link> &open : m_links) {
        if (const std::shared_ptr<link> connected = open.lock()) {
            connected->isSilent = true;
        }
    }
}

void fault_relay::resetConnections()
{
    for (const std::weak_ptr<link> &open : std::exchange(m_links, {})) {
        if (const std::shared_ptr<link> connected = open.lock()) {
            reset(connected->caller);
            reset(connected->server);
        }
    }
}

asio::awaitable<void> fault_relay::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(awaitTuple);
        if (!error) {
            take(std::move(socket));
        }
    }
}

void fault_relay::take(asio::ip::tcp::socket caller)
{
    if (m_state.refusesConnections) {
        reset(caller);
        return;
    }
    m_links.remove_if([](const std::weak_ptr<link> &open) { return open.expired(); });
    const auto connected = std::make_shared<link>(std::move(caller));
    m_links.push_back(connected);
    asio::co_spawn(m_acceptor.get_executor(), serve(connected), asio::detached);
}

asio::awaitable<void> fault_relay::serve(std::shared_ptr<link> connected)
{
    const auto [error] = co_await connected->server.async_connect({asio::ip::address_v4::loopback(), m_target}, awaitTuple);
    if (error) {
        reset(connected->caller);
        co_return;
    }
    boost::system::error_code ignored;
    connected->caller.set_option(asio::ip::tcp::no_delay(true), ignored);
    connected->server.set_option(asio::ip::tcp::no_delay(true), ignored);
    asio::co_spawn(m_acceptor.get_executor(), pump(connected, false), asio::detached);
    co_await pump(connected, true);
}

asio::awaitable<void> fault_relay::pump(std::shared_ptr<link> connected, bool isRequest)
{
    asio::ip::tcp::socket &from = isRequest ? connected->caller : connected->server;
    asio::ip::tcp::socket &to = isRequest ? connected->server : connected->caller;
    std::array<char, blockBytes> block;
    boost::system::error_code error;
    while (!error) {
        std::size_t size = 0;
        std::tie(error, size) = co_await from.async_read_some(asio::buffer(block), awaitTuple);
        if (m_state.delay > base::milliseconds(0)) {
            co_await net::sleepFor(m_state.delay);
        }
        while (isRequest ? m_state.holdsRequests : m_state.holdsAnswers) {
            co_await net::sleepFor(holdPollInterval);
        }
        if (size > 0 && !connected->isSilent) {
            co_await asio::async_write(to, asio::buffer(block.data(), size), awaitTuple);
        }
    }
    if (connected->isSilent) {
        co_return;
    }
    if (error == asio::error::eof) {
        to.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    } else {
        reset(to);
    }
}

} // namespace chervilbend::fakes
