#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>
#include <chervilbend/routing/internal/slot_quota.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace chervilbend::routing
{

namespace
{

/// An endpoint that asks for a longer pause is asked again after this time.
constexpr base::milliseconds longestPause{60'000};
/// For so long an endpoint that has named no bound on its refusals is not taken to have that of others.
constexpr base::milliseconds soundnessLifetime{500};
/// All nodes together cause one refusal for so many that a brittle endpoint survives.
constexpr double refusalReserve = 3;
constexpr double millisecondsPerSecond = 1'000;

} // namespace

void adaptive_director::noteAnswer(request_handle id, const endpoint_notice &notice)
{
    const request_state *const request = m_requests.find(id);
    if (request != nullptr && request->phase == request_phase::running) {
        noteResponse(*request->endpoint);
        m_rateLimits->noteAnswer(request->endpoint->process(), notice.requestRate);
        if (notice.pause) {
            pauseEndpoint(*request->endpoint, *notice.pause);
        }
        noteToleratedRefusals(*request, notice.toleratedRefusals);
        if (notice.isRefusal && notice.toleratedRefusals) {
            pauseEndpoint(*request->endpoint, pauseAfterRefusal(*notice.toleratedRefusals));
        }
        if (notice.isLeaving) {
            m_leaving->note(request->endpoint->process());
            request->endpoint->hasSaidLeaving = true;
        }
    }
}

void adaptive_director::pauseEndpoint(endpoint_state &endpoint, base::milliseconds duration)
{
    endpoint.pausedUntil = std::max(endpoint.pausedUntil, base::clock::now() + std::min(duration, longestPause));
    m_lastPauseEnd = std::max(m_lastPauseEnd, endpoint.pausedUntil);
}

base::milliseconds adaptive_director::pauseAfterRefusal(double toleratedRefusals)
{
    if (toleratedRefusals <= 0) {
        return longestPause;
    }
    // Nodes that were refused in the same second must not come back in the same one.
    const double jitter = std::uniform_real_distribution<double>(0.5, 1.5)(m_pauseRandom);
    const double seconds = refusalReserve * m_nodes / toleratedRefusals * jitter;
    return base::milliseconds(static_cast<std::int64_t>(std::min(seconds * millisecondsPerSecond, static_cast<double>(longestPause.count()))));
}

void adaptive_director::noteToleratedRefusals(const request_state &request, std::optional<double> toleratedRefusals)
{
    endpoint_state &endpoint = *request.endpoint;
    const base::time_point now = base::clock::now();
    const bool isNews = toleratedRefusals && !endpoint.toleratedRefusals;
    endpoint.toleratedRefusals = toleratedRefusals;
    endpoint.soundAt = toleratedRefusals ? endpoint.soundAt : now;
    updateSlotQuota(endpoint);
    if (!isNews) {
        return;
    }
    // The endpoints of a service become brittle together, and this node may hear from some of them only seconds later.
    for (const pool_member &member : request.pool->members) {
        endpoint_state &other = *member.endpoint;
        if (!other.toleratedRefusals && now - other.soundAt > soundnessLifetime) {
            other.toleratedRefusals = toleratedRefusals;
            updateSlotQuota(other);
        }
    }
}

void adaptive_director::updateSlotQuota(endpoint_state &endpoint) const
{
    const bool isBrittle = endpoint.toleratedRefusals && endpoint.facts.slots > 0;
    endpoint.slotQuota = isBrittle ? std::optional(slotQuota(endpoint.facts.slots, m_nodes, m_rank, endpoint.idHash)) : std::nullopt;
}

void adaptive_director::updateSlotQuotas()
{
    for (const auto &[id, endpoint] : m_endpoints) {
        updateSlotQuota(*endpoint);
    }
}

void adaptive_director::endpointLeaves(const endpoint_process &process)
{
    const auto found = m_endpoints.find(process.endpoint);
    if (found != m_endpoints.end() && found->second->process() == process) {
        found->second->hasSaidLeaving = true;
        m_nextTick = base::time_point{};
    }
}

void adaptive_director::rateLimitsChanged()
{
    if (m_rateLimits->hasLimits()) {
        for (pool_state *pool : m_poolOrder) {
            markDirty(*pool);
        }
    }
}

void adaptive_director::noteExpected(const pool_state &pool)
{
    if (!m_rateLimits->hasLimits()) {
        return;
    }
    const auto usable = std::count_if(pool.members.begin(), pool.members.end(), [](const pool_member &member) { return member.isUsable(); });
    for (const pool_member &member : pool.members) {
        if (member.isUsable()) {
            m_rateLimits->noteExpected(member.endpoint->process(), 1.0 / static_cast<double>(usable));
        }
    }
}

void adaptive_director::refuseUnwanted()
{
    const base::time_point now = base::clock::now();
    if (!m_rateLimits->hasLimits() && now >= m_lastPauseEnd) {
        return;
    }
    std::vector<request_state *> refused;
    for (const auto &[latestStart, id] : m_latestStarts) {
        request_state &request = *m_requests.find(id);
        const pool_willingness willingness = request.pool->isDirty ? m_selector.willingnessOf(*request.pool, m_nodes, now) : pool_willingness::open;
        const bool isDecided = request.hasAskedForGrant && m_rateLimits->lastDecided() > request.lastRateReport;
        if (willingness == pool_willingness::paused || (willingness == pool_willingness::rateLimited && isDecided)) {
            refused.push_back(&request);
        } else if (willingness == pool_willingness::rateLimited && !request.hasAskedForGrant) {
            requestGrant(request, now);
        }
    }
    for (request_state *request : refused) {
        removeFromQueue(*request);
        refuse(*request, base::error_kind::overloaded, "the endpoints that serve it take no more requests for now");
    }
}

void adaptive_director::requestGrant(request_state &request, base::time_point now)
{
    request.hasAskedForGrant = true;
    // The number of the next report is higher than this.
    request.lastRateReport = m_rateLimits->lastReport();
    m_rateLimits->noteWaiting(m_selector.limitedEndpoints(*request.pool, m_nodes, now));
    m_rateLimits->requestGrants();
}

} // namespace chervilbend::routing
