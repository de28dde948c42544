#include <chervilbend/fakes/virtual_scheduler.hpp>

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/net/timer.hpp>

namespace chervilbend::fakes
{

namespace
{

/// Runs the handlers that are ready and those that they post, but no timers.
void runReadyHandlers(base::manual_time_source &source, boost::asio::io_context &context)
{
    source.setTimersHeld(true);
    while (context.poll() > 0) { }
    source.setTimersHeld(false);
}

/// Makes the handlers of all due timers ready. Returns whether there were any.
bool releaseDueTimers(base::manual_time_source &source, boost::asio::io_context &context)
{
    // An overdue timer makes the timerfd fire at once. Being the earliest, it runs first of all that are due.
    net::timer overdue(context.get_executor());
    overdue.expires_at(base::time_point::min());
    bool overdueFired = false;
    overdue.async_wait([&](const boost::system::error_code &) {
        source.setTimersHeld(true);
        overdueFired = true;
    });
    while (!overdueFired) {
        context.run_one();
    }
    return context.poll_one() > 0;
}

} // namespace

void runUntilIdle(base::manual_time_source &source, boost::asio::io_context &context)
{
    context.restart();
    bool hadDueTimers = true;
    while (hadDueTimers) {
        runReadyHandlers(source, context);
        context.restart();
        hadDueTimers = releaseDueTimers(source, context);
    }
    source.setTimersHeld(false);
    context.restart();
}

} // namespace chervilbend::fakes
