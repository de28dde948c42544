#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>
#include <cstdint>

namespace chervilbend::routing
{

namespace
{

/// The nodes learn of an unreachable endpoint at nearly the same time; their first recovery checks are spread over this time.
constexpr base::milliseconds firstCheckSpread{1'000};

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
    if (!m_unreachable->hasReported() && !m_hasReportedEndpoint) {
        return;
    }
    m_hasReportedEndpoint = false;
    for (const auto &[id, endpoint] : m_endpoints) {
        const bool isReported = m_unreachable->isReported(endpoint->process());
        if (isReported && !endpoint->isReportedDown) {
            const auto delay = std::uniform_int_distribution<std::int64_t>(0, firstCheckSpread.count())(m_checkRandom);
            endpoint->nextReportCheck = now + base::milliseconds(delay);
        }
        endpoint->isReportedDown = isReported;
        m_hasReportedEndpoint = m_hasReportedEndpoint || isReported;
    }
    for (pool_state *pool : m_poolOrder) {
        applyReports(*pool, now);
    }
}

void adaptive_director::applyReports(pool_state &pool, base::time_point now)
{
    bool isChanged = false;
    for (pool_member &member : pool.members) {
        // Each decision counts with the ones before it, so that two reported members are not each avoided because of the other.
        const bool isAvoided = member.endpoint->isReportedDown && hasSubstitute(pool, member, now);
        isChanged = isChanged || isAvoided != member.isAvoided;
        member.isAvoided = isAvoided;
    }
    if (isChanged) {
        markDirty(pool);
    }
}

} // namespace chervilbend::routing
