#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/base/hash.hpp>
#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>
#include <cstdint>

namespace chervilbend::routing
{

namespace
{

/// Least interval between two recovery checks of this node.
constexpr base::milliseconds leastCheckInterval{1'000};
constexpr base::milliseconds oneSecond{1'000};
/// Recovery checks per second of one reported endpoint, by all nodes together. Each check is a caller's request, so more of them cost more refused requests;
/// with fewer, a report lapses before two nodes have met the failure again (docs/routing.md).
constexpr int clusterChecksPerSecond = 4;

/// Whether the pool has another endpoint in place of the member. A stream continues only on endpoints of its software version, so that the last one of a
/// version has no substitute.
bool hasSubstitute(const pool_state &pool, const pool_member &member, base::time_point now)
{
    return std::any_of(pool.members.begin(), pool.members.end(), [&](const pool_member &other) {
        const bool isSameVersion = other.endpoint->facts.softwareVersion == member.endpoint->facts.softwareVersion;
        return other.endpoint != member.endpoint && isSameVersion && other.isUsable() && now >= other.endpoint->pausedUntil;
    });
}

} // namespace

base::milliseconds adaptive_director::firstCheckDelay(const base::endpoint_id &endpoint, base::time_point now, base::milliseconds interval) const
{
    // A hash in place of a random number generator, whose numbers would depend on the order of the endpoints.
    const std::uint64_t hash = base::hash64(endpoint.value(), m_checkSeed ^ static_cast<std::uint64_t>(now.time_since_epoch().count()));
    return base::milliseconds(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(interval.count())));
}

base::milliseconds adaptive_director::reportCheckInterval() const
{
    // Reports about many endpoints are more likely due to a fault between these and a few nodes, which a check of any other node shows to be wrong.
    return std::max(leastCheckInterval, oneSecond * m_nodes / (clusterChecksPerSecond * std::max(1, m_reportedEndpoints)));
}

void adaptive_director::unreachableChanged()
{
    m_areReportsDue = true;
}

void adaptive_director::noteResponse(endpoint_state &endpoint)
{
    endpoint.isDown = false;
    m_unreachable->noteResponse(endpoint.process());
    m_areReportsDue = m_areReportsDue || endpoint.isReportedDown;
}

void adaptive_director::applyReports(base::time_point now)
{
    if (!m_unreachable->hasReported() && m_reportedEndpoints == 0) {
        return;
    }
    m_reportedEndpoints = static_cast<int>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto &known) { return m_unreachable->isReported(known.second->process()); }));
    const base::milliseconds interval = reportCheckInterval();
    for (const auto &[id, endpoint] : m_endpoints) {
        const bool isReported = m_unreachable->isReported(endpoint->process());
        const bool isShorter = endpoint->nextReportCheck > now + interval;
        if (isReported && (!endpoint->isReportedDown || isShorter)) {
            endpoint->nextReportCheck = now + firstCheckDelay(id, now, interval);
        }
        endpoint->isReportedDown = isReported;
    }
    for (pool_state *pool : m_poolOrder) {
        avoidReportedMembers(*pool, now);
    }
}

void adaptive_director::avoidReportedMembers(pool_state &pool, base::time_point now)
{
    bool isChanged = false;
    for (pool_member &member : pool.members) {
        // A member whose report has ended may be the substitute of any other.
        if (member.isAvoided && !member.endpoint->isReportedDown) {
            member.isAvoided = false;
            isChanged = true;
        }
    }
    for (pool_member &member : pool.members) {
        // Each decision sees the ones before it, so that two reported members are not each avoided because of the other.
        const bool isAvoided = member.endpoint->isReportedDown && hasSubstitute(pool, member, now);
        isChanged = isChanged || isAvoided != member.isAvoided;
        member.isAvoided = isAvoided;
    }
    if (isChanged) {
        markDirty(pool);
    }
}

} // namespace chervilbend::routing
