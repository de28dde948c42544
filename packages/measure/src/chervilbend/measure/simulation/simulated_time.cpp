#include <chervilbend/measure/simulation/simulated_time.hpp>

#include <chervilbend/fakes/virtual_scheduler.hpp>

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

void simulated_time::runDueTasks()
{
    // By index, because a task may add a process.
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        if (!m_processes[i].paused) {
            fakes::runUntilIdle(m_source, *m_processes[i].context);
        }
    }
}

void simulated_time::advance(base::milliseconds duration, base::milliseconds step)
{
    advanceUntil([] { return false; }, duration, step);
}

bool simulated_time::advanceUntil(const std::function<bool()> &condition, base::milliseconds limit, base::milliseconds step)
{
    runDueTasks();
    for (base::milliseconds elapsed{0}; elapsed < limit && !condition(); elapsed += step) {
        m_source.advance(std::min(step, limit - elapsed));
        runDueTasks();
    }
    return condition();
}

} // namespace chervilbend::measure
