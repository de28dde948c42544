#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/manual_time_source.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <vector>

namespace chervilbend::measure
{

/// Runs the tasks of several simulated processes, each with an io_context of its own, in one thread and in virtual time. A process that
/// is paused runs nothing; one that is killed has its io_context destroyed. Installs a manual time source for its lifetime.
class simulated_time
{
public:
    /// The context must be removed before it is destroyed.
    void add(boost::asio::io_context &context);
    void remove(boost::asio::io_context &context);
    void setPaused(boost::asio::io_context &context, bool paused);

    /// Runs what is due, once through all processes.
    void settle();
    /// Moves the time forward in steps and settles after each.
    void advance(base::milliseconds duration, base::milliseconds step = base::milliseconds(10));
    /// Advances until @p condition holds or @p limit is over. Returns whether it holds.
    bool advanceUntil(const std::function<bool()> &condition, base::milliseconds limit, base::milliseconds step = base::milliseconds(10));

private:
    struct process {
        boost::asio::io_context *context;
        bool paused = false;
    };

    static void runDue(boost::asio::io_context &context);

    base::manual_time_source m_source;
    std::vector<process> m_processes;
};

} // namespace chervilbend::measure
