#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/timer.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace chervilbend::net
{

/// A TCP socket with its read buffer and a deadline that closes it.
///
/// Moving the deadline is cheap: the timer is armed again only when it fires or when the deadline becomes earlier.
class connection : public std::enable_shared_from_this<connection>
{
public:
    explicit connection(boost::asio::ip::tcp::socket socket);

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
};

} // namespace chervilbend::net
