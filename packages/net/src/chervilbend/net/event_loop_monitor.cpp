#include <chervilbend/net/event_loop_monitor.hpp>

#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::net
{

namespace
{
constexpr base::milliseconds measurementInterval{50};
} // namespace

boost::asio::awaitable<void> event_loop_monitor::run()
{
    while (true) {
        m_dueAt = base::clock::now() + measurementInterval;
        co_await sleepFor(measurementInterval);
        m_lag = std::max(base::milliseconds(0), base::clock::now() - m_dueAt);
        m_maximum = std::max(m_maximum, m_lag);
        if (m_listener) {
            m_listener(m_lag);
        }
    }
}

void event_loop_monitor::onMeasurement(std::function<void(base::milliseconds)> listener)
{
    m_listener = std::move(listener);
}

base::milliseconds event_loop_monitor::lag() const
{
    const bool isRunning = m_dueAt != base::time_point{};
    return isRunning ? std::max(m_lag, base::clock::now() - m_dueAt) : m_lag;
}

base::milliseconds event_loop_monitor::takeMaximum()
{
    return std::max(std::exchange(m_maximum, base::milliseconds(0)), lag());
}

} // namespace chervilbend::net
