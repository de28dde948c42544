#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/net/timer.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace chervilbend::net
{

/// Lets tasks wait for a change that other tasks of the same thread make. Must outlive the tasks that wait.
class change_signal
{
public:
    /// Wakes all tasks that are waiting.
    void notify();

    /// Waits for the next notify(), until @p until at the latest. False on timeout.
    boost::asio::awaitable<bool> wait(base::time_point until);

private:
    /// Weak pointers, because a waiting task may be destroyed with its io_context.
    std::vector<std::weak_ptr<timer>> m_waiting;
};

} // namespace chervilbend::net
