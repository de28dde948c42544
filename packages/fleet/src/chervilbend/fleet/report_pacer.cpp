#include <chervilbend/fleet/report_pacer.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::fleet
{

namespace
{

/// A change of the interval shows after about this time.
constexpr base::milliseconds adjustmentInterval{250};
/// A read of the store takes about ten turns of the event loop, and must end within 900 ms.
constexpr base::milliseconds highLag{40};
constexpr base::milliseconds lowLag{25};
constexpr base::milliseconds decrease{25};

} // namespace

void report_pacer::measure(base::milliseconds loopLag)
{
    m_largestLag = std::max(m_largestLag, loopLag);
    const base::time_point now = base::clock::now();
    if (now < m_adjustedAt + adjustmentInterval) {
        return;
    }
    m_adjustedAt = now;
    const base::milliseconds lag = std::exchange(m_largestLag, base::milliseconds(0));
    m_isOverloaded = lag > highLag;
    if (m_isOverloaded) {
        m_interval = std::min(longestInterval, m_interval * 3 / 2);
    } else if (lag < lowLag) {
        m_interval = std::max(shortestInterval, m_interval - decrease);
    }
}

} // namespace chervilbend::fleet
