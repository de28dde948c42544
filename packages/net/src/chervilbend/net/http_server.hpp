#pragma once

#include <chervilbend/base/byte_budget.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/http_server_limits.hpp>
#include <chervilbend/net/timer.hpp>
#include <chervilbend/net/unanswered_reason.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <set>

namespace chervilbend::net
{

class connection;
class http_handler;
class http_session;

/// Accepts HTTP/1.1 connections on one address; one task per connection.
class http_server : public std::enable_shared_from_this<http_server>, public base::reason_holder
{
public:
    /// The handler must outlive the server's sessions.
    http_server(const boost::asio::any_io_executor &executor, http_handler &handler, http_server_limits limits = {});
    ~http_server();

    /// Binds and starts to accept; returns the bound port. No value when the address cannot be bound.
    std::optional<std::uint16_t> listen(const address &localAddress);

    /// Like listen(), but waits while the address is in use, for example by a process that is about to end or by a connection of another process. False when it
    /// cannot be bound for another reason.
    boost::asio::awaitable<bool> listenWhenFree(address localAddress);

    /// Still accepts connections and requests, but answers with "Connection: close" from then on.
    void announceDrain();

    /// Accepts no new connections, answers open requests with "Connection: close" and closes idle connections soon, when no request has come.
    void drain();

    /// Aborts all requests and closes all connections. Requests whose answer has not begun get one that promises nothing, which takes until openRequests() is
    /// 0.
    void closeAll();

    /// Number of requests that are being answered.
    std::size_t openRequests() const;

    /// Memory of all requests that are being read or answered, but for the small part that each connection has.
    std::size_t requestBytes() const
    {
        return m_requestBudget->taken();
    }

    std::size_t openConnections() const
    {
        return m_sessions.size();
    }

    /// Connections that were refused because the limit was reached, since the start.
    std::uint64_t refusedConnections() const
    {
        return m_refusedConnections;
    }

    /// Requests that had been read and ended without a complete answer, since the start.
    const unanswered_counts &unanswered() const
    {
        return m_unanswered;
    }

private:
    friend class http_session;

    /// Binds and starts to accept; an error has a last reason.
    boost::system::error_code tryToListen(const address &localAddress);
    void startAccepting();
    void serve(boost::asio::ip::tcp::socket socket);
    void refuseConnection(boost::asio::ip::tcp::socket socket);
    /// Accepts connections that wait in the kernel's queue, @p most at most.
    void acceptPending(std::size_t most);

    boost::asio::any_io_executor m_executor;
    http_handler &m_handler;
    http_server_limits m_limits;
    std::shared_ptr<base::byte_budget> m_requestBudget;
    boost::asio::ip::tcp::acceptor m_acceptor;
    timer m_acceptRetryTimer;
    std::set<http_session *> m_sessions;
    std::uint64_t m_refusedConnections = 0;
    /// Refused connections that are not closed yet, the oldest first.
    std::list<std::shared_ptr<connection>> m_refusals;
    unanswered_counts m_unanswered{};
    bool m_drainAnnounced = false;
    bool m_draining = false;
    bool m_closed = false;
};

} // namespace chervilbend::net
