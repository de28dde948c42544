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

/// Appends entries to one stream of the log, with one append in flight; entries that come meanwhile go into the next record together.
///
/// Never repeats an append: after a lost answer the entries may be in the log or come later, so only the fold can tell. Must outlive
/// the io_context's run.
class log_appender
{
public:
    log_appender(boost::asio::any_io_executor executor, external::log_service &log);

    /// Appends @p entries in one record, perhaps with others. The status is that of the record: "refused" when it certainly is not and
    /// will not be in the log, also when too many entries wait.
    boost::asio::awaitable<external::append_result> append(std::vector<state::entry> entries);

    /// Entries that wait for their append or its answer.
    std::size_t waiting() const;

private:
    struct request {
        std::vector<state::entry> entries;
        external::append_result result;
        bool done = false;
    };

    static constexpr std::size_t longestRecord = 256;
    /// Bounds the memory for entries when the log is slow; an entry has at most about 10 KB.
    static constexpr std::size_t mostWaiting = 1000;

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
