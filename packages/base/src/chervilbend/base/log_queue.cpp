#include <chervilbend/base/log_queue.hpp>

#include <chervilbend/base/log_event.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::base
{

log_queue::log_queue(sink write, std::size_t capacity)
    : m_write(std::move(write))
    , m_capacity(std::max<std::size_t>(1, capacity))
{
}

void log_queue::add(std::string line, int importance)
{
    m_lines.push_back({std::move(line), importance});
    flush();
    while (m_lines.size() > m_capacity) {
        dropLeastImportant();
    }
}

void log_queue::flush()
{
    while (!m_lines.empty()) {
        if (m_dropped > m_reportedDrops) {
            const std::string report = log_event("linesDropped").with("count", m_dropped - m_reportedDrops).text() + '\n';
            if (!m_write(report)) {
                return;
            }
            m_reportedDrops = m_dropped;
        }
        if (!m_write(m_lines.front().text)) {
            return;
        }
        m_lines.pop_front();
    }
}

void log_queue::dropLeastImportant()
{
    const auto leastImportant =
        std::min_element(m_lines.begin(), m_lines.end(), [](const queued_line &left, const queued_line &right) { return left.importance < right.importance; });
    m_lines.erase(leastImportant);
    ++m_dropped;
}

} // namespace chervilbend::base
