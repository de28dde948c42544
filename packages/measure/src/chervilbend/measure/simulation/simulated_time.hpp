#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/manual_time_source.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <vector>

namespace chervilbend::measure
{

/// Runs the tasks of several simulated processes, each with its own io_context, in one thread and in virtual time. A paused process runs
/// nothing. A process is killed by destroying its io_context. Installs a manual time source for its lifetime.
class simulated_time
{
public:
    /// The context must be removed before it is destroyed.
    void add(boost::asio::io_context &context);
    void remove(boost::asio::io_context &context);
    void setPaused(boost::asio::io_context &context, bool paused);

    /// Runs the tasks that are due, in a single pass over all processes.
    void runDueTasks();
    /// Advances the time in steps and runs the due tasks after each.
    void advance(base::milliseconds duration, base::milliseconds step = base::milliseconds(10));
    /// Advances until @p condition holds or @p limit has passed. Returns whether it holds.
    bool advanceUntil(const std::function<bool()> &condition, base::milliseconds limit, base::milliseconds step = base::milliseconds(10));

private:
    struct process {
        boost::asio::io_context *context;
        bool paused = false;
    };

    base::manual_time_source m_source;
    std::vector<process> m_processes;
};

} // namespace chervilbend::measure
