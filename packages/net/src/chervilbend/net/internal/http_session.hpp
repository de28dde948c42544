#pragma once

#include <chervilbend/net/timer.hpp>
#include <chervilbend/net/unanswered_reason.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chervilbend::base
{
struct reason;
}

namespace chervilbend::net
{

class connection;
class http_exchange;
class http_server;

/// A caller's connection: reads requests one at a time and has the handler answer each. Its task keeps it alive.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(std::shared_ptr<http_server> server, boost::asio::ip::tcp::socket socket);
    ~http_session();

    void start();

    /// Closes the connection soon if no request comes; otherwise after its answer.
    void drain();
    /// Makes the answer to the open request carry "Connection: close" if it has not begun.
    void announceDrain();
    /// Closes the connection. An open request whose answer has not begun is aborted and gets one that promises nothing.
    void close();

    bool isBusy() const
    {
        return m_exchange != nullptr;
    }

private:
    boost::asio::awaitable<void> run();
    /// Waits while the connection is idle. False if it is to be closed.
    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<std::shared_ptr<http_exchange>> readRequest();
    boost::asio::awaitable<void> refuse(base::reason reason);
    boost::asio::awaitable<void> answer(std::shared_ptr<http_exchange> exchange);
    /// The message of the exception that ended the handler, if any.
    boost::asio::awaitable<std::optional<std::string>> runHandler(std::shared_ptr<http_exchange> exchange);
    boost::asio::awaitable<void> answerAborted(std::shared_ptr<http_exchange> exchange);

    void resetIfTruncated(const http_exchange &exchange);
    void noteUnanswered(const http_exchange &exchange);
    void cancelTask(unanswered_reason reason);
    void watchForDisconnect(std::uint64_t requestNumber);
    void onReadable(std::uint64_t requestNumber);
    void pollForDisconnect(std::uint64_t requestNumber);

    std::shared_ptr<http_server> m_server;
    std::shared_ptr<connection> m_connection;
    /// The request that is being answered.
    std::shared_ptr<http_exchange> m_exchange;
    /// Waits for the first byte of a request.
    bool m_isIdle = false;
    /// Cancels the task when the caller disconnects.
    boost::asio::cancellation_signal m_cancel;
    timer m_disconnectPollTimer;
    /// Identifies the current request, so that a wait for a disconnect that was started for an earlier request has no effect.
    std::uint64_t m_requestNumber = 0;
};

} // namespace chervilbend::net
