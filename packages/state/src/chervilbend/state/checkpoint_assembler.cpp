#include <chervilbend/state/checkpoint_assembler.hpp>

#include <chervilbend/state/record_codec.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::state
{

checkpoint_assembler::checkpoint_assembler(std::string stream)
    : m_stream(std::move(stream))
{
}

void checkpoint_assembler::add(std::string_view payload)
{
    for (const entry &each : decodeRecord(payload).entries) {
        const auto *chunk = std::get_if<checkpoint_entry>(&each);
        if (chunk && chunk->stream == m_stream) {
            add(*chunk);
        }
    }
}

void checkpoint_assembler::add(const checkpoint_entry &chunk)
{
    if (m_newest && chunk.appliedOffset <= m_newest->appliedOffset) {
        return;
    }
    if (!m_partials.contains(chunk.checkpointId)) {
        m_partialIds.push_back(chunk.checkpointId);
        if (m_partialIds.size() > maxPartials) {
            m_partials.erase(m_partialIds.front());
            m_partialIds.erase(m_partialIds.begin());
        }
        m_partials[chunk.checkpointId] = {chunk.appliedOffset, {}, chunk.chunks};
    }
    partial &target = m_partials[chunk.checkpointId];
    if (chunk.appliedOffset != target.appliedOffset || chunk.chunks != target.chunks) {
        return;
    }
    target.data[chunk.chunk] = chunk.data;
    if (std::cmp_less(target.data.size(), target.chunks)) {
        return;
    }
    checkpoint &complete = m_newest.emplace();
    complete.appliedOffset = target.appliedOffset;
    for (const auto &[number, data] : target.data) {
        complete.dump += data;
    }
    m_partials.erase(chunk.checkpointId);
    std::erase(m_partialIds, chunk.checkpointId);
}

const std::optional<checkpoint_assembler::checkpoint> &checkpoint_assembler::newest() const
{
    return m_newest;
}

} // namespace chervilbend::state
