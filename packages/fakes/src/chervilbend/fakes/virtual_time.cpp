#include <chervilbend/fakes/virtual_time.hpp>

#include <chervilbend/net/timer.hpp>

#include <algorithm>

namespace chervilbend::fakes
{

virtual_time::virtual_time(boost::asio::io_context &context)
    : m_context(context)
{
}

void virtual_time::settle()
{
    while (runDueTimers() > 1) { }
}

void virtual_time::advance(base::milliseconds duration, base::milliseconds step)
{
    for (base::milliseconds done{0}; done < duration; done += step) {
        m_source.advance(std::min(step, duration - done));
        settle();
    }
}

/// Gives the number of handlers run; one of them is its own.
std::size_t virtual_time::runDueTimers()
{
    // A timer that expired long ago sets off Asio's timerfd at once, which makes Asio look at all timers.
    net::timer overdue(m_context);
    overdue.expires_at(base::time_point::min());
    bool reached = false;
    m_context.restart();
    overdue.async_wait([&reached](const boost::system::error_code &) { reached = true; });
    std::size_t handlers = 0;
    while (!reached) {
        handlers += m_context.run_one();
    }
    m_context.restart();
    return handlers + m_context.poll();
}

} // namespace chervilbend::fakes
