#include <chervilbend/control/checkpoint_transfer.hpp>

#include <chervilbend/state/checkpoint_writer.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::control
{

asio::awaitable<std::optional<state::checkpoint_assembler::checkpoint>> readCheckpoint(external::log_service &log, std::string stream)
{
    state::checkpoint_assembler collector(std::move(stream));
    base::log_offset position;
    while (true) {
        const std::optional<external::log_page> page = co_await log.read(position, base::milliseconds(0));
        if (!page) {
            co_return std::nullopt;
        }
        for (const external::log_record &record : page->records) {
            collector.add(record.payload);
            position = std::max(position, record.offset);
        }
        if (page->records.empty() || position >= page->head) {
            co_return collector.newest();
        }
    }
}

asio::awaitable<bool> writeCheckpoint(external::log_service &log, std::string stream, const state::replicated_state &state, std::string checkpointId)
{
    const std::vector<std::string> records = state::checkpointRecords(stream, state.appliedOffset(), state.dump(), checkpointId);
    for (const std::string &record : records) {
        // A chunk whose response was lost is not retried: the next checkpoint is written after a quarter of the retention time.
        const external::append_result result = co_await log.append(record);
        if (result.status != external::append_status::accepted) {
            co_return false;
        }
    }
    co_return true;
}

} // namespace chervilbend::control
