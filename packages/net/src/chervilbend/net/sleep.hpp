#pragma once

#include <chervilbend/base/clock.hpp>

#include <boost/asio/awaitable.hpp>

namespace chervilbend::net
{

/// Suspends the calling task for @p duration. Returns early, without an error, when the task is cancelled.
boost::asio::awaitable<void> sleepFor(base::milliseconds duration);

} // namespace chervilbend::net
