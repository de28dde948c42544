#pragma once

#include <chervilbend/base/clock.hpp>

#include <boost/asio/basic_waitable_timer.hpp>

namespace chervilbend::net
{

/// A timer on the project's clock. Under a manual time source, fakes::virtual_time runs the timers that have come due.
using timer = boost::asio::basic_waitable_timer<base::clock>;

} // namespace chervilbend::net
