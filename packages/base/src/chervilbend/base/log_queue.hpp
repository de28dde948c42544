#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace chervilbend::base
{

/// Log lines on their way to a stream that may not take them at once. Never waits: lines beyond the bound are dropped, the least important ones
/// first, and a line of its own says how many once the stream takes lines again.
class log_queue
{
public:
    /// Writes one line if that is possible without waiting; gives whether it was.
    using sink = std::function<bool(std::string_view line)>;

    /// @p bound is the greatest number of lines that wait.
    log_queue(sink write, std::size_t bound);

    /// Takes a line, with its end. A higher @p importance goes before a lower one when lines must be dropped.
    void add(std::string line, int importance);

    /// Lines that were dropped since the start.
    std::int64_t dropped() const
    {
        return m_dropped;
    }

    std::size_t waiting() const
    {
        return m_lines.size();
    }

private:
    struct waiting_line {
        std::string text;
        int importance = 0;
    };

    void flush();
    void dropOne();

    sink m_write;
    std::size_t m_bound;
    std::deque<waiting_line> m_lines;
    std::int64_t m_dropped = 0;
    std::int64_t m_reported = 0;
};

} // namespace chervilbend::base
