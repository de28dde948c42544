#include <chervilbend/routing/retry_budget.hpp>

#include <algorithm>
#include <cstdint>

namespace chervilbend::routing
{

retry_budget::retry_budget(double share, double burst, base::milliseconds window)
    : m_share(share)
    , m_burst(burst)
    , m_tokens(burst)
    , m_window(window)
    // The slots together are one slot longer than the window, since the current one has only begun.
    , m_slotLength((window + base::milliseconds(slotCount - 2)) / static_cast<std::int64_t>(slotCount - 1))
    , m_slotStart(base::clock::now())
{
}

void retry_budget::setBurst(double burst)
{
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

std::size_t retry_budget::slotsPassed() const
{
    if (m_slotLength == base::milliseconds(0)) {
        return 0;
    }
    return static_cast<std::size_t>((base::clock::now() - m_slotStart) / m_slotLength);
}

void retry_budget::advance()
{
    const std::size_t passed = slotsPassed();
    for (std::size_t i = 0; i < std::min(passed, slotCount); ++i) {
        m_current = (m_current + 1) % slotCount;
        m_slots[m_current] = {};
    }
    m_slotStart += m_slotLength * static_cast<std::int64_t>(passed);
}

double retry_budget::available() const
{
    if (m_slotLength == base::milliseconds(0)) {
        return m_tokens;
    }
    double left = m_burst;
    std::size_t age = slotsPassed();
    for (std::size_t back = 0; age < slotCount; ++back, ++age) {
        const counts &slot = m_slots[(m_current + slotCount - back) % slotCount];
        // What a slot holds may be older than the window: its retries count then, its requests do not.
        const bool isWithinWindow = m_slotLength * static_cast<std::int64_t>(age + 1) <= m_window;
        left += (isWithinWindow ? m_share * slot.requests : 0) - slot.retries;
    }
    return left;
}

void retry_budget::deposit()
{
    advance();
    m_tokens = std::min(m_tokens + m_share, m_burst);
    m_slots[m_current].requests += 1;
}

bool retry_budget::isExhausted() const
{
    return available() < 1;
}

bool retry_budget::tryWithdraw()
{
    advance();
    if (isExhausted()) {
        return false;
    }
    m_tokens -= 1;
    m_slots[m_current].retries += 1;
    return true;
}

} // namespace chervilbend::routing
