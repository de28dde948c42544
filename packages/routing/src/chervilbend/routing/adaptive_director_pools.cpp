#include <chervilbend/routing/adaptive_director.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>

#include <algorithm>
#include <limits>

namespace chervilbend::routing
{

namespace
{

/// Interval at which expired suspicions are removed.
constexpr base::milliseconds expiryInterval{1000};
/// Number of samples from which the estimate of a pool's median cost is used.
constexpr long minimumSamples = 20;
/// A long request must also exceed the mean cost by this factor. Where nothing distinguishes short and long requests, all are predicted
/// at the mean cost, and noise in the median must not classify all of them as long.
constexpr double longOverMeanFactor = 1.5;

} // namespace

void adaptive_director::setEndpoint(const endpoint_facts &facts)
{
    std::shared_ptr<endpoint_state> &endpoint = m_endpoints[facts.endpoint];
    if (!endpoint) {
        endpoint = std::make_shared<endpoint_state>(facts, m_nextSerial++, m_settings);
    }
    if (endpoint->facts.startedAt != facts.startedAt) {
        m_rateLimits->remove(endpoint->process());
        endpoint->pausedUntil = base::time_point{};
        endpoint->isDown = false;
    }
    endpoint->facts = facts;
    endpoint->hasSaidLeaving = m_leaving->contains(endpoint->process());
    for (const std::string &name : facts.pools) {
        const auto found = m_pools.find(name);
        if (found == m_pools.end() || found->second->memberOf(endpoint.get()) == nullptr) {
            joinPool(endpoint, name);
        }
    }
    const std::vector<pool_state *> pools = endpoint->pools;
    for (pool_state *pool : pools) {
        if (!facts.pools.contains(pool->name)) {
            leavePool(*endpoint, *pool);
        }
    }
    updateSlotQuota(*endpoint);
    m_nextTick = base::time_point{};
}

void adaptive_director::removeEndpoint(const base::endpoint_id &endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    // Requests that are still running on the endpoint keep its state alive until they end.
    const std::shared_ptr<endpoint_state> removed = found->second;
    m_endpoints.erase(found);
    m_rateLimits->remove(removed->process());
    m_suspects.confirmCrash(removed->serial);
    const std::vector<pool_state *> pools = removed->pools;
    for (pool_state *pool : pools) {
        leavePool(*removed, *pool);
    }
    m_nextTick = base::time_point{};
}

void adaptive_director::joinPool(const std::shared_ptr<endpoint_state> &endpoint, const std::string &name)
{
    std::unique_ptr<pool_state> &pool = m_pools[name];
    if (!pool) {
        pool = std::make_unique<pool_state>(name, m_settings);
        m_poolOrder.push_back(pool.get());
    }
    // An endpoint that has just started has not said yet whether it is brittle, like the others of its service.
    for (const pool_member &other : pool->members) {
        if (!endpoint->toleratedRefusals) {
            endpoint->toleratedRefusals = other.endpoint->toleratedRefusals;
        }
    }
    pool_member member;
    member.endpoint = endpoint;
    pool->members.push_back(member);
    endpoint->pools.push_back(pool.get());
}

void adaptive_director::leavePool(endpoint_state &endpoint, pool_state &pool)
{
    std::erase(endpoint.pools, &pool);
    std::erase_if(pool.members, [&](const pool_member &member) { return member.endpoint.get() == &endpoint; });
    dropPoolIfUnused(pool);
}

void adaptive_director::dropPoolIfUnused(pool_state &pool)
{
    if (pool.handleCount > 0 || !pool.members.empty()) {
        return;
    }
    std::erase(m_poolOrder, &pool);
    std::erase(m_dirty, &pool);
    m_pools.erase(std::string(pool.name));
}

void adaptive_director::markDirty(pool_state &pool)
{
    if (!pool.isDirty && pool.hasWaitingRequests()) {
        pool.isDirty = true;
        m_dirty.push_back(&pool);
    }
}

void adaptive_director::markDirty(const endpoint_state &endpoint)
{
    for (pool_state *pool : endpoint.pools) {
        markDirty(*pool);
    }
}

void adaptive_director::advance(base::time_point now)
{
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + expiryInterval;
        m_suspects.expire(now);
    }
    const bool isTick = now >= m_nextTick;
    if (isTick || m_areReportsDue) {
        m_areReportsDue = false;
        applyReports(now);
    }
    if (isTick) {
        m_nextTick = now + m_settings.window;
        advancePools(now);
    }
}

void adaptive_director::advancePools(base::time_point now)
{
    for (const auto &[id, endpoint] : m_endpoints) {
        endpoint->limit.advance(now);
        endpoint->longThreshold = std::numeric_limits<double>::infinity();
    }
    for (pool_state *pool : m_poolOrder) {
        m_outliers.evaluate(pool->members, pool->requests, m_nodes, now);
        pool->refresh(m_nodes, now, m_settings);
        if (pool->medianCost.count() >= minimumSamples) {
            const double threshold = std::max(m_settings.longFactor * pool->medianCost.value(), longOverMeanFactor * pool->meanCost);
            for (const pool_member &member : pool->members) {
                member.endpoint->longThreshold = std::min(member.endpoint->longThreshold, threshold);
            }
        }
    }
    for (pool_state *pool : m_poolOrder) {
        // Pools that share an endpoint share its slots, so the lowest threshold among them applies to all.
        double lowest = std::numeric_limits<double>::infinity();
        for (const pool_member &member : pool->members) {
            lowest = std::min(lowest, member.endpoint->longThreshold);
        }
        pool->longThreshold = lowest;
        markDirty(*pool);
    }
}

} // namespace chervilbend::routing
