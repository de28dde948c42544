#include <chervilbend/routing/internal/outlier_detector.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// A probe that is overdue by this many intervals is sent regardless of the number of requests since the last one.
constexpr int forcedProbeIntervals = 30;

} // namespace

outlier_detector::outlier_detector(const director_settings &settings)
    : m_settings(settings)
{
}

void outlier_detector::evaluate(std::vector<pool_member> &members, long requests, int nodes, base::time_point now)
{
    m_msPerCosts.clear();
    for (const pool_member &member : members) {
        if (member.latency.samples() >= m_settings.outlierMinimumSamples) {
            m_msPerCosts.push_back(member.latency.msPerCost(1));
        }
    }
    // With only two members with enough samples, it cannot be determined which one is slow.
    if (m_msPerCosts.size() < 3) {
        return;
    }
    std::sort(m_msPerCosts.begin(), m_msPerCosts.end());
    for (pool_member &member : members) {
        if (member.latency.samples() >= m_settings.outlierMinimumSamples) {
            updateWeight(member);
        }
    }
    eject(members, requests, nodes, now);
}

void outlier_detector::updateWeight(pool_member &member)
{
    const double own = member.latency.msPerCost(1);
    const auto ownIndex = static_cast<std::size_t>(std::lower_bound(m_msPerCosts.begin(), m_msPerCosts.end(), own) - m_msPerCosts.begin());
    // The median of the other members: the middle element after leaving out the member's own.
    const std::size_t middle = (m_msPerCosts.size() - 2) / 2;
    const double median = std::max(1e-6, m_msPerCosts[middle < ownIndex ? middle : middle + 1]);
    member.latencyRatio = own / median;
    member.weight = std::clamp(1 / std::max(1e-6, member.latencyRatio), 0.1, 1.5);
    if (member.ejected && member.latencyRatio < m_settings.slowFactor) {
        member.ejected = false;
    }
}

void outlier_detector::eject(std::vector<pool_member> &members, long requests, int nodes, base::time_point now)
{
    auto ejected = std::count_if(members.begin(), members.end(), [](const pool_member &member) { return member.ejected; });
    while (ejected < static_cast<std::ptrdiff_t>(members.size() / 3)) {
        pool_member *slowest = nullptr;
        for (pool_member &member : members) {
            const bool isSlow =
                !member.ejected && member.latencyRatio >= m_settings.ejectFactor && member.latency.samples() >= m_settings.outlierMinimumSamples;
            if (isSlow && (slowest == nullptr || member.latencyRatio > slowest->latencyRatio)) {
                slowest = &member;
            }
        }
        if (slowest == nullptr) {
            return;
        }
        slowest->ejected = true;
        slowest->latency.reset();
        recordProbe(*slowest, requests, nodes, now);
        ++ejected;
    }
}

pool_member *outlier_detector::dueProbe(std::vector<pool_member> &members, long requests, base::time_point now) const
{
    for (pool_member &member : members) {
        if (!member.ejected || now < member.nextProbe) {
            continue;
        }
        if (requests >= member.probeAfterRequest || now >= member.nextProbe + m_settings.probeInterval * forcedProbeIntervals) {
            return &member;
        }
    }
    return nullptr;
}

void outlier_detector::recordProbe(pool_member &member, long requests, int nodes, base::time_point now) const
{
    member.nextProbe = now + m_settings.probeInterval * nodes;
    member.probeAfterRequest = requests + m_settings.requestsBetweenProbes;
}

} // namespace chervilbend::routing
