#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>
#include <utility>

namespace chervilbend::routing
{

void adaptive_director::bindToVersion(request_handle id)
{
    request_state *const request = m_requests.find(id);
    if (request != nullptr && request->phase == request_phase::running) {
        request->facts.softwareVersion = request->endpoint->facts.softwareVersion;
    }
}

std::optional<base::reason> adaptive_director::resumptionObstacle(const request_facts &facts) const
{
    const base::software_version &version = facts.softwareVersion;
    const auto pool = m_pools.find(facts.pool);
    if (version.empty() || (pool != m_pools.end() && pool->second->hasVersion(version))) {
        return std::nullopt;
    }
    const bool isInService = std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto &known) {
        const endpoint_state &endpoint = *known.second;
        return endpoint.facts.softwareVersion == version && endpoint.facts.pools.contains(facts.retryGroup) && !endpoint.isLeaving();
    });
    if (isInService) {
        return base::reason{base::error_kind::noEndpoint, "no endpoint of software version " + version.value() + " serves " + facts.pool + " now"};
    }
    return base::reason{base::error_kind::notResumable, "software version " + version.value() + ", which began the stream, is not in service any more"};
}

void adaptive_director::dispatchResumptions(pool_state &pool, base::time_point now, std::vector<dispatch> &dispatches)
{
    for (auto position = pool.resumptions.begin(); position != pool.resumptions.end();) {
        request_state &request = *m_requests.find(*position);
        ++position;
        std::optional<base::reason> obstacle = crashReason(request.facts, request.isTrial);
        if (!obstacle) {
            obstacle = resumptionObstacle(request.facts);
        }
        if (obstacle) {
            removeFromQueue(request);
            refuse(request, obstacle->kind, std::move(obstacle->text));
            continue;
        }
        if (pool.inFlight >= pool.capacity) {
            pool.limit.markSaturated();
            continue;
        }
        m_selector.refreshCandidates(pool, m_nodes, now);
        pool_member *const member = m_selector.pickForResumption(pool, request);
        if (member != nullptr) {
            removeFromQueue(request);
            startAttempt(request, *member, now);
            dispatches.push_back(dispatchOf(request, "continues a stream of this software version"));
        }
    }
}

} // namespace chervilbend::routing
