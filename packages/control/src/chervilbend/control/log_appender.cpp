#include <chervilbend/control/log_appender.hpp>

#include <chervilbend/state/record_codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <iterator>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::control
{

log_appender::log_appender(asio::any_io_executor executor, external::log_service &log)
    : m_executor(std::move(executor))
    , m_log(log)
{
}

std::size_t log_appender::waiting() const
{
    return m_waiting;
}

asio::awaitable<external::append_result> log_appender::append(std::vector<state::entry> entries)
{
    if (m_waiting + entries.size() > maxWaiting) {
        co_return external::append_result{external::append_status::refused, {}};
    }
    const auto pending = std::make_shared<request>();
    pending->entries = std::move(entries);
    m_waiting += pending->entries.size();
    m_queue.push_back(pending);
    if (!m_draining) {
        m_draining = true;
        asio::co_spawn(m_executor, drain(), asio::detached);
    }
    while (!pending->done) {
        co_await m_answered.wait(base::time_point::max());
    }
    co_return pending->result;
}

std::vector<std::shared_ptr<log_appender::request>> log_appender::nextBatch()
{
    std::vector<std::shared_ptr<request>> batch;
    std::size_t entries = 0;
    while (!m_queue.empty() && (batch.empty() || entries + m_queue.front()->entries.size() <= maxEntriesPerRecord)) {
        entries += m_queue.front()->entries.size();
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    return batch;
}

asio::awaitable<void> log_appender::drain()
{
    while (!m_queue.empty()) {
        const std::vector<std::shared_ptr<request>> batch = nextBatch();
        std::vector<state::entry> entries;
        for (const auto &each : batch) {
            entries.insert(entries.end(), std::make_move_iterator(each->entries.begin()), std::make_move_iterator(each->entries.end()));
        }
        const external::append_result result = co_await m_log.append(state::encodeRecord(entries));
        m_waiting -= entries.size();
        for (const auto &each : batch) {
            each->result = result;
            each->done = true;
        }
        m_answered.notify();
    }
    m_draining = false;
}

} // namespace chervilbend::control
