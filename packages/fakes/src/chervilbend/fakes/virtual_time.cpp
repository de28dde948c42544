#include <chervilbend/fakes/virtual_time.hpp>

#include <chervilbend/net/timer.hpp>

#include <algorithm>

namespace chervilbend::fakes
{

virtual_time::virtual_time(boost::asio::io_context &context)
    : m_context(context)
{
}

void virtual_time::runUntilIdle()
{
    while (runDueTimers() > 1) { }
}

void virtual_time::advance(base::milliseconds duration, base::milliseconds step)
{
    for (base::milliseconds done{0}; done < duration; done += step) {
        m_source.advance(std::min(step, duration - done));
        runUntilIdle();
    }
}

/// Returns the number of handlers that ran, including the one of the timer created here.
std::size_t virtual_time::runDueTimers()
{
    // An overdue timer makes Asio's timerfd fire at once, which makes Asio check all timers.
    net::timer overdue(m_context);
    overdue.expires_at(base::time_point::min());
    bool overdueFired = false;
    m_context.restart();
    overdue.async_wait([&overdueFired](const boost::system::error_code &) { overdueFired = true; });
    std::size_t handlers = 0;
    while (!overdueFired) {
        handlers += m_context.run_one();
    }
    m_context.restart();
    return handlers + m_context.poll();
}

} // namespace chervilbend::fakes
