#include <chervilbend/routing/internal/slow_detector.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// A probe that is overdue by this many intervals is sent however few requests there are.
constexpr int overdueIntervals = 30;

} // namespace

slow_detector::slow_detector(const director_settings &settings)
    : m_settings(settings)
{
}

void slow_detector::judge(std::vector<pool_member> &members, long requests, int nodes, base::time_point now)
{
    m_rates.clear();
    for (const pool_member &member : members) {
        if (member.latency.samples() >= m_settings.slowSamples) {
            m_rates.push_back(member.latency.msPerCost(1));
        }
    }
    // One peer alone cannot tell which of the two is slow.
    if (m_rates.size() < 3) {
        return;
    }
    std::sort(m_rates.begin(), m_rates.end());
    for (pool_member &member : members) {
        if (member.latency.samples() >= m_settings.slowSamples) {
            rate(member);
        }
    }
    eject(members, requests, nodes, now);
}

void slow_detector::rate(pool_member &member)
{
    const double own = member.latency.msPerCost(1);
    const auto ownPlace = static_cast<std::size_t>(std::lower_bound(m_rates.begin(), m_rates.end(), own) - m_rates.begin());
    // The median of the others: the middle one when its own place is left out.
    const std::size_t middle = (m_rates.size() - 2) / 2;
    const double median = std::max(1e-6, m_rates[middle < ownPlace ? middle : middle + 1]);
    member.slowness = own / median;
    member.weight = std::clamp(1 / std::max(1e-6, member.slowness), 0.1, 1.5);
    if (member.ejected && member.slowness < m_settings.slowFactor) {
        member.ejected = false;
    }
}

void slow_detector::eject(std::vector<pool_member> &members, long requests, int nodes, base::time_point now)
{
    auto ejected = std::count_if(members.begin(), members.end(), [](const pool_member &member) { return member.ejected; });
    while (ejected < static_cast<std::ptrdiff_t>(members.size() / 3)) {
        pool_member *slowest = nullptr;
        for (pool_member &member : members) {
            const bool isSlow = !member.ejected && member.slowness >= m_settings.ejectFactor && member.latency.samples() >= m_settings.slowSamples;
            if (isSlow && (slowest == nullptr || member.slowness > slowest->slowness)) {
                slowest = &member;
            }
        }
        if (slowest == nullptr) {
            return;
        }
        slowest->ejected = true;
        slowest->latency.restart();
        noteProbe(*slowest, requests, nodes, now);
        ++ejected;
    }
}

pool_member *slow_detector::dueProbe(std::vector<pool_member> &members, long requests, base::time_point now) const
{
    for (pool_member &member : members) {
        if (!member.ejected || now < member.nextProbe) {
            continue;
        }
        if (requests >= member.probeAfterRequest || now >= member.nextProbe + m_settings.probeInterval * overdueIntervals) {
            return &member;
        }
    }
    return nullptr;
}

void slow_detector::noteProbe(pool_member &member, long requests, int nodes, base::time_point now) const
{
    member.nextProbe = now + m_settings.probeInterval * nodes;
    member.probeAfterRequest = requests + m_settings.probeSpacing;
}

} // namespace chervilbend::routing
