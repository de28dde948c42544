#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/manual_time_source.hpp>

#include <boost/asio/io_context.hpp>

namespace chervilbend::fakes
{

/// Runs the tasks of an io_context in virtual time. Installs a manual time source for its lifetime.
///
/// io_context::poll() alone does not run the timers that a manual time source made due: Asio looks at its timers only when its
/// timerfd fires, and that counts real time.
class virtual_time
{
public:
    explicit virtual_time(boost::asio::io_context &context);

    /// Runs all that is ready, and the timers that are due, until nothing more is.
    void settle();

    /// Moves the time forward by @p duration in steps, and settles after each. Timers fire at most one step late.
    void advance(base::milliseconds duration, base::milliseconds step = base::milliseconds(10));

    /// The host is suspended: timers stand still, but the boot clock goes on.
    void suspend(base::milliseconds duration)
    {
        m_source.suspend(duration);
    }

private:
    std::size_t runDueTimers();

    base::manual_time_source m_source;
    boost::asio::io_context &m_context;
};

} // namespace chervilbend::fakes
