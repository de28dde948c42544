#pragma once

#include <chervilbend/control/entry_sink.hpp>
#include <chervilbend/control/log_progress.hpp>

#include <boost/asio/any_io_executor.hpp>

namespace chervilbend::control
{

class log_appender;
class log_follower;

/// Passes entries to the appender of a log stream and provides the progress of its follower.
class log_entry_sink : public entry_sink, public log_progress
{
public:
    /// Both references must outlive the object and the io_context's run.
    log_entry_sink(boost::asio::any_io_executor executor, log_appender &appender, log_follower &follower);

    void append(state::entry entry) override;
    void appendBatch(std::vector<state::entry> entries) override;
    boost::asio::awaitable<bool> appendAndApply(std::vector<state::entry> entries, base::time_point deadline) override;

    base::time_point caughtUpAt() const override;

private:
    boost::asio::any_io_executor m_executor;
    log_appender &m_appender;
    log_follower &m_follower;
};

} // namespace chervilbend::control
