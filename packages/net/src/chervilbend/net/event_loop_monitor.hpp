#pragma once

#include <chervilbend/base/clock.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace chervilbend::net
{

/// Measures by how much the handlers of a single-threaded event loop are late: a timer that fires late shows how long ready handlers wait for their
/// turn, whether they wait for the processor or for the handlers before them.
class event_loop_monitor
{
public:
    /// Measures periodically. Does not return.
    boost::asio::awaitable<void> run();
    /// The listener is called with each measurement.
    void onMeasurement(std::function<void(base::milliseconds)> listener);

    /// Lateness of the newest measurement, or of the one that is due if that is already later.
    base::milliseconds lag() const;

    /// The largest lateness since the last call.
    base::milliseconds takeMaximum();

private:
    std::function<void(base::milliseconds)> m_listener;
    /// When the running measurement was due; the clock's epoch before the first one.
    base::time_point m_dueAt;
    base::milliseconds m_lag{0};
    base::milliseconds m_maximum{0};
};

} // namespace chervilbend::net
