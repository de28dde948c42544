#pragma once

#include <chervilbend/control/log_follower_options.hpp>
#include <chervilbend/external/log_service.hpp>
#include <chervilbend/net/change_signal.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace chervilbend::control
{

/// One task that reads a stream of the log and folds it. Must outlive the io_context's run.
class log_follower
{
public:
    /// @p checkpoints is the checkpoint stream, nullptr for a stream without checkpoints.
    log_follower(boost::asio::any_io_executor executor,
                 external::log_service &log,
                 state::replicated_state &state,
                 log_follower_options options = {},
                 external::log_service *checkpoints = nullptr);

    /// Commands.

    /// Starts the task. To be called once.
    void start();
    /// Ends the task after its current read.
    void stop();
    /// Takes a peer's dump of the state. False when it is damaged or not newer.
    bool restore(std::string_view dump);
    /// Wakes all tasks in waitForChange(), for changes that are not in the log.
    void notify();

    /// Queries.

    const state::replicated_state &state() const;
    /// Whether the last read succeeded and is not overdue, and no records are missing.
    bool isReachable() const;
    /// When the last read was sent whose answer reached the head of the log: the fold holds all that was in the log then. The clock's
    /// minimum before the first one.
    base::time_point lastAtHead() const;

    /// Waits until the record at @p offset is folded, until @p until at most. Returns whether it is.
    boost::asio::awaitable<bool> foldedBeyond(base::log_offset offset, base::time_point until);
    /// Waits for newly folded records, a change of reachability, or notify(). False when the time is over.
    boost::asio::awaitable<bool> waitForChange(base::time_point until);

private:
    boost::asio::awaitable<void> follow();
    /// Reads and folds one page. False when the read failed or records are missing.
    boost::asio::awaitable<bool> step();
    boost::asio::awaitable<void> takeCheckpoint();
    base::milliseconds pauseAfter(int failures) const;
    void setReachable(bool reachable);

    boost::asio::any_io_executor m_executor;
    external::log_service &m_log;
    state::replicated_state &m_state;
    log_follower_options m_options;
    external::log_service *m_checkpoints;
    net::change_signal m_changed;
    bool m_stopped = false;
    bool m_reachable = false;
    base::time_point m_lastAnswer = base::time_point::min();
    base::time_point m_lastAtHead = base::time_point::min();
};

} // namespace chervilbend::control
