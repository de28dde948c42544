#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace chervilbend::base
{

/// Buffers log lines for a stream that may not accept them immediately. Never blocks: lines beyond the capacity are dropped, the least important
/// ones first, and a "linesDropped" event reports their number once the stream accepts lines again.
class log_queue
{
public:
    /// Writes one line if that is possible without blocking. Returns whether the line was written.
    using sink = std::function<bool(std::string_view line)>;

    /// @p capacity is the maximum number of queued lines, at least 1.
    log_queue(sink write, std::size_t capacity);

    /// Adds a line, which includes its line feed. When lines must be dropped, those with the lowest @p importance are dropped first.
    void add(std::string line, int importance);

    /// Number of lines dropped since the queue was created.
    std::int64_t dropped() const
    {
        return m_dropped;
    }

    std::size_t waiting() const
    {
        return m_lines.size();
    }

private:
    struct queued_line {
        std::string text;
        int importance = 0;
    };

    void flush();
    void dropLeastImportant();

    sink m_write;
    std::size_t m_capacity;
    std::deque<queued_line> m_lines;
    std::int64_t m_dropped = 0;
    std::int64_t m_reportedDrops = 0;
};

} // namespace chervilbend::base
