#pragma once

#include <chervilbend/base/clock.hpp>

#include <boost/asio/basic_waitable_timer.hpp>

namespace chervilbend::net
{

/// A timer on the project's clock. Under a manual time source, fakes::virtual_time runs the timers that have come due.
using timer = boost::asio::basic_waitable_timer<base::clock>;

/// For timers that only end by cancellation. Asio counts the time until a timer expires in microseconds, which overflow for the clock's
/// maximum: it would look at the timer again and again without a pause.
inline constexpr base::time_point distantFuture{base::milliseconds(1'000'000'000'000'000)};

} // namespace chervilbend::net
