#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace chervilbend::net
{

class connection;
class http_exchange;
class http_server;

/// One caller's connection: reads requests one after the other and has each answered. Keeps itself alive while its task runs.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(std::shared_ptr<http_server> server, boost::asio::ip::tcp::socket socket);
    ~http_session();

    void start();

    /// Closes the connection now if no request is open.
    void closeIfIdle();
    void close();

    bool isBusy() const
    {
        return m_busy;
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<std::shared_ptr<http_exchange>> readRequest();
    boost::asio::awaitable<void> answer(std::shared_ptr<http_exchange> exchange);
    boost::asio::awaitable<void> waitForDisconnect();

    std::shared_ptr<http_server> m_server;
    std::shared_ptr<connection> m_connection;
    bool m_busy = false;
};

} // namespace chervilbend::net
