#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/control/entry_sink.hpp>
#include <chervilbend/control/log_appender.hpp>
#include <chervilbend/control/log_follower.hpp>
#include <chervilbend/control/log_progress.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <vector>

namespace chervilbend::external
{
class log_service;
} // namespace chervilbend::external

namespace chervilbend::control
{

/// One stream of the log with the state replicated from it, its follower and its appender.
class log_stream : public entry_sink, public log_progress
{
public:
    /// @p log and @p checkpoints must outlive the stream, and the stream the io_context's run. @p checkpoints may be nullptr.
    log_stream(const boost::asio::any_io_executor &executor,
               external::log_service &log,
               const log_follower_options &options,
               external::log_service *checkpoints);

    /// Commands.

    void append(state::entry entry) override;
    void appendBatch(std::vector<state::entry> entries) override;
    boost::asio::awaitable<bool> appendAndApply(std::vector<state::entry> entries, base::time_point deadline) override;

    log_appender &appender()
    {
        return m_appender;
    }

    log_follower &follower()
    {
        return m_follower;
    }

    /// Queries.

    const state::replicated_state &state() const
    {
        return m_state;
    }

    const log_follower &follower() const
    {
        return m_follower;
    }

    base::time_point caughtUpAt() const override
    {
        return m_follower.lastAtHead();
    }

private:
    boost::asio::awaitable<void> appendDetached(std::vector<state::entry> entries);

    boost::asio::any_io_executor m_executor;
    state::replicated_state m_state;
    log_appender m_appender;
    log_follower m_follower;
};

} // namespace chervilbend::control
