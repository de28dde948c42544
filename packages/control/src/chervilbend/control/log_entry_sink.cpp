#include <chervilbend/control/log_entry_sink.hpp>

#include <chervilbend/control/log_appender.hpp>
#include <chervilbend/control/log_follower.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace chervilbend::control
{

log_entry_sink::log_entry_sink(boost::asio::any_io_executor executor, log_appender &appender, log_follower &follower)
    : m_executor(std::move(executor))
    , m_appender(appender)
    , m_follower(follower)
{
}

void log_entry_sink::append(state::entry entry)
{
    std::vector<state::entry> entries;
    entries.push_back(std::move(entry));
    appendBatch(std::move(entries));
}

void log_entry_sink::appendBatch(std::vector<state::entry> entries)
{
    boost::asio::co_spawn(m_executor, m_appender.append(std::move(entries)), boost::asio::detached);
}

boost::asio::awaitable<bool> log_entry_sink::appendAndApply(std::vector<state::entry> entries, base::time_point deadline)
{
    const external::append_result result = co_await m_appender.append(std::move(entries));
    if (result.status != external::append_status::accepted) {
        co_return false;
    }
    co_return co_await m_follower.waitUntilApplied(result.offset, deadline);
}

base::time_point log_entry_sink::caughtUpAt() const
{
    return m_follower.lastAtHead();
}

} // namespace chervilbend::control
