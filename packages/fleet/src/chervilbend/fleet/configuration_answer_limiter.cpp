#include <chervilbend/fleet/configuration_answer_limiter.hpp>

#include <cmath>
#include <cstdint>

namespace chervilbend::fleet
{

namespace
{

/// Share of the link that answers may use. The rest is for callers' requests and this node's own calls.
constexpr double linkShare = 0.4;
/// 1 Mbit/s in bytes per millisecond.
constexpr double bytesPerMsOfMegabit = 125;

} // namespace

configuration_answer_limiter::configuration_answer_limiter(double linkMegabits)
    : m_bytesPerMs(linkMegabits * bytesPerMsOfMegabit * linkShare)
{
}

bool configuration_answer_limiter::tryStart(const base::node_id &node, std::size_t bytes)
{
    const base::time_point now = base::clock::now();
    std::erase_if(m_answeredAt, [now](const auto &answered) { return now - answered.second >= minInterval; });
    if (bytes > maxBytes || now < m_busyUntil || m_answeredAt.contains(node)) {
        return false;
    }
    m_busyUntil = now + base::milliseconds(static_cast<std::int64_t>(std::ceil(static_cast<double>(bytes) / m_bytesPerMs)));
    m_answeredAt[node] = now;
    return true;
}

} // namespace chervilbend::fleet
