#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>
#include <vector>

namespace chervilbend::routing
{

namespace
{

/// An endpoint that asks for a longer pause is asked again after this time.
constexpr base::milliseconds longestPause{60'000};

} // namespace

void adaptive_director::noteAnswer(request_handle id, const endpoint_notice &notice)
{
    const request_state *const request = m_requests.find(id);
    if (request != nullptr && request->phase == request_phase::running) {
        m_rateLimits->noteAnswer(request->endpoint->process(), notice.requestRate);
        if (notice.pause) {
            const base::milliseconds pause = std::min(*notice.pause, longestPause);
            request->endpoint->pausedUntil = std::max(request->endpoint->pausedUntil, base::clock::now() + pause);
            m_lastPauseEnd = std::max(m_lastPauseEnd, request->endpoint->pausedUntil);
        }
        if (notice.isLeaving) {
            m_leaving->note(request->endpoint->process());
            request->endpoint->hasSaidLeaving = true;
        }
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
