#pragma once

#include <chervilbend/base/clock.hpp>

#include <boost/asio/basic_waitable_timer.hpp>

namespace chervilbend::net
{

/// A timer on base::clock. With a manual time source, fakes::virtual_time runs the timers that are due.
using timer = boost::asio::basic_waitable_timer<base::clock>;

/// Expiry of timers that only end by cancellation. Asio counts the time until expiry in microseconds, which overflow for the clock's maximum: it would then
/// poll the timer in a busy loop.
inline constexpr base::time_point distantFuture{base::milliseconds(1'000'000'000'000'000)};

} // namespace chervilbend::net
