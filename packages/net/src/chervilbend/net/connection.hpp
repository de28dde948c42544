#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/timer.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace chervilbend::net
{

/// A TCP socket with its read buffer and a deadline that closes it.
///
/// The read buffer is bounded. A read that needs a longer one ends with http::error::buffer_overflow, so that a peer cannot fill the memory with bytes that
/// never make up a message.
///
/// Moving the deadline is cheap: the timer is armed again only when it fires or when the deadline becomes earlier.
class connection : public std::enable_shared_from_this<connection>
{
public:
    /// Maximum size of the read buffer, unless the constructor is given another one: the longest part of a message that is parsed as a whole, such as a header
    /// or the line before a chunk.
    static constexpr std::size_t maxUnparsedBytes = 64 * 1024;
    /// Size of the kernel's buffer for received bytes. Without a bound the kernel lets it grow to several megabytes while the bytes are not read.
    static constexpr int receiveBufferBytes = 64 * 1024;

    explicit connection(boost::asio::ip::tcp::socket socket, std::size_t maxBufferedBytes = maxUnparsedBytes);

    boost::asio::ip::tcp::socket &socket()
    {
        return m_socket;
    }

    boost::beast::flat_buffer &buffer()
    {
        return m_buffer;
    }

    /// Closes the socket after @p duration unless the deadline is moved before; pending operations then end with an error.
    void expireAfter(base::milliseconds duration);
    /// Like expireAfter(), but only cancels the pending operations, so that an error can still be sent to the peer.
    void interruptAfter(base::milliseconds duration);
    void neverExpire();

    /// Whether the deadline passed.
    bool hasExpired() const
    {
        return m_expired;
    }

    /// Number of the connection among those of its client, for log lines; 0 if it has none.
    std::int64_t number() const
    {
        return m_number;
    }
    void setNumber(std::int64_t number)
    {
        m_number = number;
    }

    /// Notes that a request is sent. Returns whether it is the first one on this connection.
    bool noteRequest()
    {
        return !std::exchange(m_isUsed, true);
    }

    void close();

private:
    void setDeadline(base::milliseconds duration, bool closes);
    void arm(base::time_point when);
    void onTimer();

    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    timer m_timer;
    std::optional<base::time_point> m_deadline;
    std::optional<base::time_point> m_armedFor;
    bool m_closesAtDeadline = true;
    bool m_expired = false;
    bool m_isUsed = false;
    std::int64_t m_number = 0;
};

} // namespace chervilbend::net
