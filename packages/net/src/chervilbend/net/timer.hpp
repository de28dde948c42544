#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/timer_clock.hpp>

#include <boost/asio/basic_waitable_timer.hpp>

namespace chervilbend::net
{

/// A timer on base::clock. With a manual time source, fakes::virtual_time runs the timers that are due.
class timer : public boost::asio::basic_waitable_timer<timer_clock>
{
public:
    explicit timer(const executor_type &executor)
        : basic_waitable_timer(executor)
    {
    }

    timer(const executor_type &executor, base::time_point expiry)
        : basic_waitable_timer(executor, expiry)
    {
    }

    /// Counts from base::clock::now(): timer_clock may be held back.
    void expires_after(base::milliseconds wait)
    {
        expires_at(base::clock::now() + wait);
    }
};

/// Expiry of timers that only end by cancellation. Asio counts the time until expiry in microseconds, which overflow for the clock's maximum: it would then
/// poll the timer in a busy loop.
inline constexpr base::time_point distantFuture{base::milliseconds(1'000'000'000'000'000)};

} // namespace chervilbend::net
