#include <chervilbend/measure/simulation/simulated_time.hpp>

#include <chervilbend/net/timer.hpp>

#include <algorithm>

namespace chervilbend::measure
{

void simulated_time::add(boost::asio::io_context &context)
{
    m_processes.push_back({&context});
}

void simulated_time::remove(boost::asio::io_context &context)
{
    std::erase_if(m_processes, [&](const process &each) { return each.context == &context; });
}

void simulated_time::setPaused(boost::asio::io_context &context, bool paused)
{
    for (process &each : m_processes) {
        if (each.context == &context) {
            each.paused = paused;
        }
    }
}

void simulated_time::settle()
{
    // By index, because a task may add a process.
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        if (!m_processes[i].paused) {
            runDue(*m_processes[i].context);
        }
    }
}

void simulated_time::runDue(boost::asio::io_context &context)
{
    context.restart();
    // Asio looks at its timers only when its timerfd fires, which counts real time; a timer that is long overdue makes it fire at once.
    net::timer overdue(context);
    overdue.expires_at(base::time_point::min());
    bool reached = false;
    overdue.async_wait([&reached](const boost::system::error_code &) { reached = true; });
    while (!reached) {
        context.run_one();
    }
    context.poll();
}

void simulated_time::advance(base::milliseconds duration, base::milliseconds step)
{
    advanceUntil([] { return false; }, duration, step);
}

bool simulated_time::advanceUntil(const std::function<bool()> &condition, base::milliseconds limit, base::milliseconds step)
{
    settle();
    for (base::milliseconds done{0}; done < limit && !condition(); done += step) {
        m_source.advance(std::min(step, limit - done));
        settle();
    }
    return condition();
}

} // namespace chervilbend::measure
