#include <chervilbend/net/connection.hpp>

#include <utility>

namespace chervilbend::net
{

connection::connection(boost::asio::ip::tcp::socket socket, std::size_t maxBufferedBytes)
    : m_socket(std::move(socket))
    , m_buffer(maxBufferedBytes)
    , m_timer(m_socket.get_executor())
{
}

void connection::expireAfter(base::milliseconds duration)
{
    setDeadline(duration, true);
}

void connection::interruptAfter(base::milliseconds duration)
{
    setDeadline(duration, false);
}

void connection::setDeadline(base::milliseconds duration, bool closes)
{
    m_closesAtDeadline = closes;
    m_expired = false;
    m_deadline = base::clock::now() + duration;
    if (!m_armedFor || *m_deadline < *m_armedFor) {
        arm(*m_deadline);
    }
}

void connection::neverExpire()
{
    m_deadline.reset();
}

void connection::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_deadline.reset();
    m_timer.cancel();
}

void connection::arm(base::time_point when)
{
    m_armedFor = when;
    m_timer.expires_at(when);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error) {
            self->onTimer();
        }
    });
}

void connection::onTimer()
{
    m_armedFor.reset();
    if (!m_deadline) {
        return;
    }
    if (base::clock::now() < *m_deadline) {
        arm(*m_deadline);
        return;
    }
    m_expired = true;
    m_deadline.reset();
    if (m_closesAtDeadline) {
        close();
    } else {
        boost::system::error_code ignored;
        m_socket.cancel(ignored);
    }
}

} // namespace chervilbend::net
