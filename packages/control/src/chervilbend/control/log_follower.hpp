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

/// Reads a stream of the log and applies its records to the replicated state. Must outlive the io_context's run.
class log_follower
{
public:
    /// @p checkpoints is the checkpoint stream; nullptr for a stream without checkpoints.
    log_follower(boost::asio::any_io_executor executor,
                 external::log_service &log,
                 state::replicated_state &state,
                 log_follower_options options = {},
                 external::log_service *checkpoints = nullptr);

    /// Commands.

    /// Starts the reading task. Must be called only once.
    void start();
    /// Ends the task after its current read.
    void stop();
    /// Replaces the state by a peer's dump. False if the dump is damaged or not newer.
    bool restore(std::string_view dump);
    /// Wakes all tasks in waitForChange(). For changes that do not come from the log.
    void notify();

    /// Queries.

    const state::replicated_state &state() const;
    /// Whether the last read succeeded without missing records and the next one is not overdue.
    bool isReachable() const;
    /// When the latest read that reached the head of the log was sent: the state contains all records that were in the log at that time.
    /// time_point::min() before the first such read.
    base::time_point lastAtHead() const;

    /// Waits until the record at @p offset is applied, but no longer than @p until. Returns whether it is applied.
    boost::asio::awaitable<bool> waitUntilApplied(base::log_offset offset, base::time_point until);
    /// Waits for newly applied records, a change of reachability, or notify(). False on time-out.
    boost::asio::awaitable<bool> waitForChange(base::time_point until);

private:
    boost::asio::awaitable<void> follow();
    /// Reads and applies one page. False if the read failed or records are missing.
    boost::asio::awaitable<bool> readPage();
    boost::asio::awaitable<void> restoreCheckpoint();
    base::milliseconds backoffAfter(int failures) const;
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
