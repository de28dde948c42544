#pragma once

#include <chervilbend/net/sleep.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace chervilbend::net::test
{

constexpr auto awaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Runs the event loop until @p task ends. Throws when it takes longer than 20 s.
inline void runUntilDone(boost::asio::io_context &context, std::function<boost::asio::awaitable<void>()> task)
{
    bool done = false;
    std::exception_ptr failure;
    boost::asio::co_spawn(context, task, [&](std::exception_ptr thrown) {
        failure = std::move(thrown);
        done = true;
    });
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    context.restart();
    while (!done && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(100));
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
    if (!done) {
        throw std::runtime_error("the test's task did not end within 20 s");
    }
}

/// Waits until @p condition holds; the caller's runUntilDone bounds the time.
inline boost::asio::awaitable<void> waitUntil(std::function<bool()> condition)
{
    while (!condition()) {
        co_await sleepFor(base::milliseconds(1));
    }
}

/// A TCP connection on which a test sends and receives raw bytes.
class raw_peer
{
public:
    explicit raw_peer(boost::asio::ip::tcp::socket connected)
        : socket(std::move(connected))
    {
    }

    static boost::asio::awaitable<std::shared_ptr<raw_peer>> connect(std::uint16_t port)
    {
        boost::asio::ip::tcp::socket connecting(co_await boost::asio::this_coro::executor);
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
        co_await connecting.async_connect(endpoint, boost::asio::use_awaitable);
        co_return std::make_shared<raw_peer>(std::move(connecting));
    }

    boost::asio::awaitable<bool> send(std::string text)
    {
        const auto [error, size] = co_await boost::asio::async_write(socket, boost::asio::buffer(text), awaitTuple);
        co_return !error;
    }

    /// Reads until @p delimiter has arrived or the other side closes; returns the bytes up to and including the delimiter, or all that has arrived.
    boost::asio::awaitable<std::string> readUntil(std::string delimiter)
    {
        std::size_t found = received.find(delimiter);
        while (found == std::string::npos && !closed) {
            char block[4096];
            const auto [error, size] = co_await socket.async_read_some(boost::asio::buffer(block), awaitTuple);
            // Searches only the new bytes: searching all of a long answer again after every read took longer than its deadline.
            const std::size_t searchStart = received.size() - std::min(received.size(), delimiter.size());
            received.append(block, size);
            found = received.find(delimiter, searchStart);
            closed = static_cast<bool>(error);
            closeError = error;
        }
        const std::string result = received.substr(0, found == std::string::npos ? found : found + delimiter.size());
        received.erase(0, result.size());
        co_return result;
    }

    /// Reads until the other side closes.
    boost::asio::awaitable<std::string> readToEnd()
    {
        co_return co_await readUntil("\x01 never sent \x01");
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    boost::asio::ip::tcp::socket socket;
    std::string received;
    bool closed = false;
    /// How the other side closed: end of file or reset.
    boost::system::error_code closeError;
};

/// Accepts connections on a loopback port and runs a script on each.
class raw_server
{
public:
    using script = std::function<boost::asio::awaitable<void>(std::shared_ptr<raw_peer>)>;

    raw_server(boost::asio::io_context &context, script onConnection)
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
        , m_script(std::move(onConnection))
    {
        accept();
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    /// Number of connections accepted.
    int connections = 0;

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            ++connections;
            boost::asio::co_spawn(m_acceptor.get_executor(), m_script(std::make_shared<raw_peer>(std::move(socket))), boost::asio::detached);
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    script m_script;
};

/// A loopback port on which nobody listens, and which nobody else gets meanwhile.
class closed_port
{
public:
    explicit closed_port(boost::asio::io_context &context)
        : m_reserved(context, {boost::asio::ip::address_v4::loopback(), 0})
    {
    }

    std::uint16_t number() const
    {
        return m_reserved.local_endpoint().port();
    }

private:
    boost::asio::ip::tcp::socket m_reserved;
};

} // namespace chervilbend::net::test
