#pragma once

#include <chervilbend/base/byte_reservation.hpp>
#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/http_types.hpp>
#include <chervilbend/net/unanswered_reason.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::net
{

class connection;

/// A request of a caller and its answer, which is sent as a whole or as a stream of chunks.
class http_exchange
{
public:
    /// @p bodyMemory is held as long as the exchange.
    http_exchange(std::shared_ptr<connection> caller,
                  http_request request,
                  base::milliseconds writeTimeout,
                  std::unique_ptr<base::byte_reservation> bodyMemory = nullptr);

    const http_request &request() const
    {
        return m_request;
    }

    /// The caller's IP address and port, for log lines.
    std::string remoteAddress() const;

    /// Whether the caller has closed its side of the connection, as far as this host knows. Consumes no data. Over TLS, a closed connection may go undetected.
    bool callerHasDisconnected() const;

    /// Each answer gets the field, unless it has one of that name.
    void setDefaultField(boost::beast::string_view name, boost::beast::string_view value)
    {
        m_defaultFields.set(name, value);
    }

    /// Sends a complete answer. False when the caller has disconnected or an answer was already started.
    boost::asio::awaitable<bool> respond(http_response response);

    /// Sends the header of a chunked answer. False when the caller has disconnected or an answer was already started.
    boost::asio::awaitable<bool> startStream(http::response<http::empty_body> header);

    /// Sends one chunk and waits until the socket has taken it, so that a slow reader applies back pressure to the source.
    boost::asio::awaitable<bool> writeChunk(std::string_view chunk);

    /// Ends a chunked answer.
    boost::asio::awaitable<bool> finishStream();

    /// Whether sending an answer has begun.
    bool isStarted() const
    {
        return m_started;
    }

    /// Whether the answer was sent completely; otherwise the connection cannot be reused.
    bool isFinished() const
    {
        return m_finished;
    }

    /// Whether the caller may send another request on the connection after this answer.
    bool keepAlive() const
    {
        return m_keepAlive;
    }

    /// Notes why the handler is being cancelled.
    void cancel(unanswered_reason reason)
    {
        m_cancelReason = m_cancelReason.value_or(reason);
    }

    /// No value unless the handler has been cancelled.
    std::optional<unanswered_reason> cancelReason() const
    {
        return m_cancelReason;
    }

    /// Closes the connection after this answer, unless its header has been sent: the caller may then send the next request already.
    void closeAfterAnswer()
    {
        m_keepAlive = m_keepAlive && m_started;
    }

private:
    void addDefaultFields(http::fields &answer) const;

    std::shared_ptr<connection> m_connection;
    http_request m_request;
    std::unique_ptr<base::byte_reservation> m_bodyMemory;
    base::milliseconds m_writeTimeout;
    bool m_keepAlive;
    std::optional<unanswered_reason> m_cancelReason;
    http::fields m_defaultFields;
    bool m_started = false;
    bool m_finished = false;
};

} // namespace chervilbend::net
