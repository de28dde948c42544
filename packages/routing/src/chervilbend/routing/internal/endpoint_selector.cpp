#include <chervilbend/routing/internal/endpoint_selector.hpp>

#include <chervilbend/routing/endpoint_rate_limits.hpp>
#include <chervilbend/routing/internal/crash_suspect_tracker.hpp>
#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>
#include <chervilbend/routing/internal/request_state.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace chervilbend::routing
{

namespace
{

/// Long requests are limited to their share for this long after the last short request.
constexpr base::milliseconds longHoldback{60'000};
/// Weight factor of an endpoint that runs a suspected request, so that few other requests are affected if it crashes.
constexpr double suspectEndpointWeight = 0.1;
/// Weight factor, for requests that cost more than the mean, of an endpoint without recent latency samples of this node. If the endpoint
/// has become slow, short requests reveal it at lower cost: with 64 nodes, long requests on endpoints not yet known to be slow determined
/// the 99th percentile of latency.
constexpr double staleSampleWeight = 0.2;
/// Weight factor of an endpoint with a rate limit, for which this node has a grant: it would lapse, while room at the others does not.
constexpr double grantedEndpointWeight = 4;
/// Age above which the last latency sample of an endpoint counts as stale.
constexpr base::milliseconds sampleFreshness{10'000};
/// Share of the prefill time that a cached prefix is assumed to save.
constexpr double prefixSaving = 0.8;

/// The finalizer of splitmix64 (Steele, Lea and Flood, 2014).
std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

endpoint_selector::endpoint_selector(std::uint64_t seed,
                                     const director_settings &settings,
                                     const crash_suspect_tracker &suspects,
                                     const endpoint_rate_limits &rateLimits)
    : m_random(seed)
    , m_settings(settings)
    , m_suspects(suspects)
    , m_rateLimits(rateLimits)
{
}

bool endpoint_selector::canAccept(const pool_member &member, int nodes, base::time_point now, double leastBound) const
{
    const endpoint_state &endpoint = *member.endpoint;
    if (endpoint.isLeaving() || now < endpoint.pausedUntil || member.ejected || endpoint.inFlight >= std::max(leastBound, endpoint.maxInFlight(nodes))) {
        return false;
    }
    if (member.isAvoided && now < endpoint.nextReportCheck) {
        return false;
    }
    // An endpoint that is down, or lost a connection recently, gets single requests spaced in time, which show whether it has recovered.
    return now >= endpoint.nextTry || (!endpoint.isDown && !m_suspects.hasUnconfirmedLoss(endpoint.serial));
}

bool endpoint_selector::canAcceptWithinRate(const pool_member &member, int nodes, base::time_point now, double leastBound) const
{
    return canAccept(member, nodes, now, leastBound) && (!m_rateLimits.hasLimits() || m_rateLimits.maySend(member.endpoint->process()));
}

pool_willingness endpoint_selector::willingnessOf(const pool_state &pool, int nodes, base::time_point now) const
{
    bool hasLimitedMember = false;
    bool hasPausedMember = false;
    bool hasOpenMember = false;
    for (const pool_member &member : pool.members) {
        if (!member.isUsable()) {
            continue;
        }
        const endpoint_state &endpoint = *member.endpoint;
        if (now < endpoint.pausedUntil) {
            hasPausedMember = true;
        } else if (!m_rateLimits.isLimited(endpoint.process())) {
            hasOpenMember = true;
        } else if (canAccept(member, nodes, now) && !m_rateLimits.maySend(endpoint.process())) {
            hasLimitedMember = true;
        }
    }
    if (hasOpenMember || !(hasLimitedMember || hasPausedMember)) {
        return pool_willingness::open;
    }
    return hasLimitedMember ? pool_willingness::rateLimited : pool_willingness::paused;
}

std::vector<endpoint_process> endpoint_selector::limitedEndpoints(const pool_state &pool, int nodes, base::time_point now) const
{
    std::vector<endpoint_process> limited;
    for (const pool_member &member : pool.members) {
        if (canAccept(member, nodes, now) && m_rateLimits.isLimited(member.endpoint->process())) {
            limited.push_back(member.endpoint->process());
        }
    }
    return limited;
}

bool endpoint_selector::canAcceptLong(const pool_state &pool, const pool_member &member, int nodes, base::time_point now)
{
    const endpoint_state &endpoint = *member.endpoint;
    if (now - endpoint.lastShortWork > longHoldback) {
        return true;
    }
    return endpoint.longInFlight < std::max(1.0, pool.longShare * endpoint.share(nodes));
}

bool endpoint_selector::hasRoomElsewhere(const pool_state &pool, const request_state &request, int nodes, base::time_point now) const
{
    return std::any_of(pool.members.begin(), pool.members.end(), [&](const pool_member &member) {
        const endpoint_state &endpoint = *member.endpoint;
        const bool isReachable = !member.isDown() && !m_suspects.hasUnconfirmedLoss(endpoint.serial);
        const bool isSameVersion = !request.isResumption() || endpoint.facts.softwareVersion == request.facts.softwareVersion;
        return member.endpoint != request.endpoint && isReachable && isSameVersion && canAcceptWithinRate(member, nodes, now)
            && (!request.lane.isLong || canAcceptLong(pool, member, nodes, now));
    });
}

void endpoint_selector::refreshCandidates(pool_state &pool, int nodes, base::time_point now)
{
    m_candidates.clear();
    m_acceptsLong = false;
    m_staleBefore = now - sampleFreshness;
    m_meanCost = pool.meanCost;
    bool hasRecentShortWork = false;
    const bool hasSlots = std::any_of(
        pool.members.begin(), pool.members.end(), [nodes](const pool_member &member) { return member.isUsable() && member.endpoint->maxInFlight(nodes) >= 1; });
    const double leastBound = hasSlots ? 0 : 1;
    for (pool_member &member : pool.members) {
        hasRecentShortWork = hasRecentShortWork || now - member.endpoint->lastShortWork <= longHoldback;
        if (canAcceptWithinRate(member, nodes, now, leastBound)) {
            m_candidates.push_back({&member, canAcceptLong(pool, member, nodes, now)});
            m_acceptsLong = m_acceptsLong || m_candidates.back().acceptsLong;
        } else if (member.endpoint->inFlight >= member.endpoint->share(nodes)) {
            member.endpoint->limit.markSaturated();
        }
    }
    // The pool's bound takes effect when the shares are so small that each endpoint's bound is rounded up to 1.
    if (hasRecentShortWork && pool.longInFlight >= std::max(1.0, pool.longShare * pool.capacity)) {
        m_acceptsLong = false;
    }
}

double endpoint_selector::weightOf(const pool_member &member, const request_state &request) const
{
    double weight = member.weight;
    if (member.endpoint->suspectsInFlight > 0) {
        weight *= suspectEndpointWeight;
    }
    if (m_rateLimits.hasLimits() && m_rateLimits.isLimited(member.endpoint->process())) {
        weight *= grantedEndpointWeight;
    }
    if (request.cost > m_meanCost && member.latency.lastSample() < m_staleBefore) {
        weight *= staleSampleWeight;
    }
    return weight;
}

pool_member *endpoint_selector::draw(const request_state &request, bool avoidLast)
{
    m_cumulativeWeights.clear();
    double sum = 0;
    for (const candidate &each : m_candidates) {
        const bool isEligible = (each.acceptsLong || !request.lane.isLong) && !(avoidLast && each.member->endpoint == request.endpoint);
        if (isEligible) {
            sum += weightOf(*each.member, request);
        }
        m_cumulativeWeights.push_back(sum);
    }
    if (sum <= 0) {
        return nullptr;
    }
    const double target = std::generate_canonical<double, 53>(m_random) * sum;
    const auto position = std::upper_bound(m_cumulativeWeights.begin(), m_cumulativeWeights.end(), target);
    return m_candidates[static_cast<std::size_t>(std::min(position, m_cumulativeWeights.end() - 1) - m_cumulativeWeights.begin())].member;
}

pool_member *endpoint_selector::affinityMember(const request_state &request) const
{
    // Rendezvous hashing: all nodes map a prefix to the same endpoint without coordination.
    pool_member *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const candidate &each : m_candidates) {
        const std::uint64_t score = mixBits(each.member->endpoint->idHash ^ request.facts.prefixHash);
        if ((each.acceptsLong || !request.lane.isLong) && score >= bestScore) {
            best = each.member;
            bestScore = score;
        }
    }
    return best;
}

double endpoint_selector::expectedWait(const pool_state &pool, const pool_member &member)
{
    const endpoint_state &endpoint = *member.endpoint;
    const double work = endpoint.outstanding + std::max(0.0, endpoint.estimatedRemoteInFlight) * pool.meanCost;
    // An engine processes its whole batch concurrently, so the work is divided by the number of slots, for which the limit stands.
    return work * member.latency.msPerCost(pool.msPerCost) / endpoint.limit.limit() + endpoint.facts.zoneRoundTripMs;
}

pool_member *endpoint_selector::pick(const pool_state &pool, const request_state &request, std::string &why)
{
    for (const candidate &each : m_candidates) {
        // The first eligible request tests whether an endpoint has recovered.
        if (each.member->isDown() || m_suspects.hasUnconfirmedLoss(each.member->endpoint->serial)) {
            why = "recovery check after a failure";
            return each.member;
        }
    }
    bool avoidLast = request.endpoint != nullptr;
    pool_member *first = draw(request, avoidLast);
    if (first == nullptr && avoidLast) {
        avoidLast = false;
        first = draw(request, avoidLast);
    }
    if (first == nullptr) {
        return nullptr;
    }
    pool_member *second = draw(request, avoidLast);
    double firstWait = expectedWait(pool, *first);
    const double secondWait = expectedWait(pool, *second);
    if (request.facts.prefixHash != 0) {
        pool_member *cached = affinityMember(request);
        const double wait = cached == nullptr ? 0 : expectedWait(pool, *cached);
        const double mean = pool.inFlight / std::max(1.0, static_cast<double>(pool.members.size()));
        if (cached != nullptr && cached->endpoint->inFlight <= 2 * mean + 1) {
            const double saving = prefixSaving * (request.inputCost - 1) * cached->latency.msPerCost(pool.msPerCost);
            first = cached;
            firstWait = std::max(0.0, wait - saving);
        }
    }
    const bool takeSecond = secondWait < firstWait;
    char text[96];
    std::snprintf(text,
                  sizeof text,
                  "expected wait %.0f ms, alternative %.0f ms, %zu available",
                  std::min(firstWait, secondWait),
                  std::max(firstWait, secondWait),
                  m_candidates.size());
    why = text;
    return takeSecond ? second : first;
}

pool_member *endpoint_selector::pickForResumption(const pool_state &pool, const request_state &request)
{
    pool_member *best = nullptr;
    std::pair<bool, double> bestRank;
    for (const candidate &each : m_candidates) {
        const endpoint_state &endpoint = *each.member->endpoint;
        if (endpoint.facts.softwareVersion != request.facts.softwareVersion || each.member->isDown() || (request.lane.isLong && !each.acceptsLong)) {
            continue;
        }
        // An endpoint that has just lost a connection is the last choice.
        const bool isDoubtful = each.member->endpoint == request.endpoint || m_suspects.hasUnconfirmedLoss(endpoint.serial);
        const std::pair<bool, double> rank{isDoubtful, expectedWait(pool, *each.member)};
        if (best == nullptr || rank < bestRank) {
            best = each.member;
            bestRank = rank;
        }
    }
    return best;
}

pool_member *endpoint_selector::pickForSuspect(const pool_state &pool, const request_state &request, bool allowFallback)
{
    // Ranks are assigned to the pool's endpoints round-robin, in an order that is the same on all nodes. If suspects went to the least
    // loaded endpoints instead, those of several nodes would share one, and a harmless suspect would be present at a second crash.
    m_endpointOrder.clear();
    for (const pool_member &member : pool.members) {
        m_endpointOrder.push_back(member.endpoint->idHash);
    }
    std::sort(m_endpointOrder.begin(), m_endpointOrder.end());
    const std::uint64_t assigned = m_endpointOrder[m_suspects.rankOf(request.facts.fingerprint) % m_endpointOrder.size()];
    pool_member *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const candidate &each : m_candidates) {
        const endpoint_state &endpoint = *each.member->endpoint;
        const bool isOtherVersion = request.isResumption() && endpoint.facts.softwareVersion != request.facts.softwareVersion;
        if (isOtherVersion || endpoint.suspectsInFlight > 0 || each.member->isDown() || m_suspects.hasUnconfirmedLoss(endpoint.serial)) {
            continue;
        }
        if (endpoint.idHash == assigned) {
            return each.member;
        }
        // The assigned endpoint is often the one that crashed. The next one in the order would be assigned to another suspect, so the fallback
        // is chosen by hash.
        const std::uint64_t score = mixBits(endpoint.idHash ^ request.facts.fingerprint);
        if (allowFallback && score >= bestScore) {
            best = each.member;
            bestScore = score;
        }
    }
    return best;
}

} // namespace chervilbend::routing
