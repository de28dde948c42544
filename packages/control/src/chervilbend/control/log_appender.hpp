#pragma once

#include <chervilbend/external/log_service.hpp>
#include <chervilbend/net/change_signal.hpp>
#include <chervilbend/state/entries.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

namespace chervilbend::control
{

/// Appends entries to one stream of the log, with at most one append in flight. Entries that arrive in the meantime are batched into the
/// next record.
///
/// Never retries an append: after a lost response the entries may be in the log or be added later, so only the replicated state shows the
/// result. Must outlive the io_context's run.
class log_appender
{
public:
    log_appender(boost::asio::any_io_executor executor, external::log_service &log);

    /// Appends @p entries in a single record, possibly together with others. Returns the result of the record: "refused" if it is certain that
    /// it is not and will not be in the log, which includes a full queue.
    boost::asio::awaitable<external::append_result> append(std::vector<state::entry> entries);

    /// Number of entries that are queued or whose append is in flight.
    std::size_t waiting() const;

private:
    struct request {
        std::vector<state::entry> entries;
        external::append_result result;
        bool done = false;
    };

    static constexpr std::size_t maxEntriesPerRecord = 256;
    /// Bounds the memory used by queued entries when the log is slow; an entry has at most about 10 KB.
    static constexpr std::size_t maxWaiting = 1000;

    boost::asio::awaitable<void> drain();
    std::vector<std::shared_ptr<request>> nextBatch();

    boost::asio::any_io_executor m_executor;
    external::log_service &m_log;
    std::deque<std::shared_ptr<request>> m_queue;
    std::size_t m_waiting = 0;
    bool m_draining = false;
    net::change_signal m_answered;
};

} // namespace chervilbend::control
