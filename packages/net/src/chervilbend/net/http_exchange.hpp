#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/http_types.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace chervilbend::net
{

class connection;

/// One request of a caller and its answer, sent as a whole or as a stream of chunks.
class http_exchange
{
public:
    http_exchange(std::shared_ptr<connection> caller, http_request request, base::milliseconds writeTimeout);

    const http_request &request() const
    {
        return m_request;
    }

    /// The caller's IP number and port, for log lines.
    std::string remoteAddress() const;

    /// Whether the caller has closed its side of the connection, as far as this host knows. Reads nothing; over TLS it may still say no.
    bool callerHasDisconnected() const;

    /// Sends a whole answer. False when the caller is gone or an answer was already started.
    boost::asio::awaitable<bool> respond(http_response response);

    /// Sends the header of a chunked answer. False when the caller is gone or an answer was already started.
    boost::asio::awaitable<bool> startStream(http::response<http::empty_body> header);

    /// Sends one chunk and waits until the socket took it, so that a slow reader holds its source back.
    boost::asio::awaitable<bool> writeChunk(std::string_view chunk);

    /// Ends a chunked answer.
    boost::asio::awaitable<bool> finishStream();

    /// Whether any byte of an answer was handed to the socket.
    bool isStarted() const
    {
        return m_started;
    }

    /// Whether the answer was sent as a whole; otherwise the connection cannot be used again.
    bool isFinished() const
    {
        return m_finished;
    }

    bool keepAlive() const
    {
        return m_keepAlive;
    }

    /// Closes the connection after this answer.
    void closeAfterAnswer()
    {
        m_keepAlive = false;
    }

private:
    std::shared_ptr<connection> m_connection;
    http_request m_request;
    base::milliseconds m_writeTimeout;
    bool m_keepAlive;
    bool m_started = false;
    bool m_finished = false;
};

} // namespace chervilbend::net
