#include <chervilbend/control/log_stream.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace asio = boost::asio;

namespace chervilbend::control
{

log_stream::log_stream(const asio::any_io_executor &executor,
                       external::log_service &log,
                       const log_follower_options &options,
                       external::log_service *checkpoints)
    : m_executor(executor)
    , m_appender(executor, log)
    , m_follower(executor, log, m_state, options, checkpoints)
{
}

void log_stream::append(state::entry entry)
{
    std::vector<state::entry> entries;
    entries.push_back(std::move(entry));
    appendBatch(std::move(entries));
}

void log_stream::appendBatch(std::vector<state::entry> entries)
{
    asio::co_spawn(m_executor, appendDetached(std::move(entries)), asio::detached);
}

asio::awaitable<bool> log_stream::appendAndApply(std::vector<state::entry> entries, base::time_point deadline)
{
    const external::append_result result = co_await m_appender.append(std::move(entries));
    if (result.status != external::append_status::accepted) {
        co_return false;
    }
    co_return co_await m_follower.waitUntilApplied(result.offset, deadline);
}

asio::awaitable<void> log_stream::appendDetached(std::vector<state::entry> entries)
{
    // Only the replicated state shows whether the entries took effect, so the result is ignored.
    co_await m_appender.append(std::move(entries));
}

} // namespace chervilbend::control
