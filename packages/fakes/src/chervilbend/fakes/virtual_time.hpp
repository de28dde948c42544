#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/manual_time_source.hpp>

#include <boost/asio/io_context.hpp>

namespace chervilbend::fakes
{

/// Runs the handlers of an io_context in virtual time. Installs a manual time source for its lifetime.
class virtual_time
{
public:
    explicit virtual_time(boost::asio::io_context &context);

    /// Runs ready handlers and due timers until there are none left.
    void runUntilIdle();

    /// Advances the time by @p duration in steps, and calls runUntilIdle() after each. Timers fire at most one step late.
    void advance(base::milliseconds duration, base::milliseconds step = base::milliseconds(10));

    /// Simulates a suspended host: timers stop, but the boot clock advances.
    void suspend(base::milliseconds duration)
    {
        m_source.suspend(duration);
    }

private:
    base::manual_time_source m_source;
    boost::asio::io_context &m_context;
};

} // namespace chervilbend::fakes
