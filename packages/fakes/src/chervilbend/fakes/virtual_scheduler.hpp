#pragma once

#include <boost/asio/io_context.hpp>

namespace chervilbend::base
{
class manual_time_source;
}

namespace chervilbend::fakes
{

/// Runs the ready handlers of @p context, then the timers that are due at the time of @p source, and so on until there are none left. The order of the
/// handlers follows from the order in which they were posted and from the expiries of their timers alone.
///
/// io_context::poll() alone does neither: Asio checks its timers only when its timerfd fires, and that uses real time.
void runUntilIdle(base::manual_time_source &source, boost::asio::io_context &context);

} // namespace chervilbend::fakes
