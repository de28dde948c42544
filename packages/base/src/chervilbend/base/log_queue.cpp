#include <chervilbend/base/log_queue.hpp>

#include <chervilbend/base/log_event.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::base
{

log_queue::log_queue(sink write, std::size_t bound)
    : m_write(std::move(write))
    , m_bound(std::max<std::size_t>(1, bound))
{
}

void log_queue::add(std::string line, int importance)
{
    m_lines.push_back({std::move(line), importance});
    flush();
    while (m_lines.size() > m_bound) {
        dropOne();
    }
}

void log_queue::flush()
{
    while (!m_lines.empty()) {
        if (m_dropped > m_reported) {
            const std::string report = log_event("linesDropped").with("count", m_dropped - m_reported).text() + '\n';
            if (!m_write(report)) {
                return;
            }
            m_reported = m_dropped;
        }
        if (!m_write(m_lines.front().text)) {
            return;
        }
        m_lines.pop_front();
    }
}

void log_queue::dropOne()
{
    const auto least = std::min_element(
        m_lines.begin(), m_lines.end(), [](const waiting_line &left, const waiting_line &right) { return left.importance < right.importance; });
    m_lines.erase(least);
    ++m_dropped;
}

} // namespace chervilbend::base
