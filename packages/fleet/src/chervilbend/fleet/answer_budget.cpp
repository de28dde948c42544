#include <chervilbend/fleet/answer_budget.hpp>

#include <algorithm>

namespace chervilbend::fleet
{

namespace
{

/// Share of the link that updates may use. The rest is for callers' requests and the holder's own calls.
constexpr double linkShare = 0.4;
/// The budget holds what accrues in this time.
constexpr double burstMs = 200;
/// 1 Mbit/s in bytes per millisecond.
constexpr double bytesPerMsOfMegabit = 125;

} // namespace

answer_budget::answer_budget(double linkMegabits)
    : m_bytesPerMs(linkMegabits * bytesPerMsOfMegabit * linkShare)
    , m_available(m_bytesPerMs * burstMs)
    , m_refilledAt(base::clock::now())
{
}

void answer_budget::take(std::size_t bytes)
{
    m_available = available() - static_cast<double>(bytes);
    m_refilledAt = base::clock::now();
}

double answer_budget::available() const
{
    const base::milliseconds elapsed = base::clock::now() - m_refilledAt;
    return std::min(m_bytesPerMs * burstMs, m_available + static_cast<double>(elapsed.count()) * m_bytesPerMs);
}

} // namespace chervilbend::fleet
