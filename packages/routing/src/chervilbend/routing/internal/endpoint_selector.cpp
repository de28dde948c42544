#include <chervilbend/routing/internal/endpoint_selector.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>
#include <chervilbend/routing/internal/pool_state.hpp>
#include <chervilbend/routing/internal/request_state.hpp>
#include <chervilbend/routing/internal/suspicion_ledger.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace chervilbend::routing
{

namespace
{

/// Long work is held back for this long after the last short work.
constexpr base::milliseconds shortMemory{60'000};
/// Weight of an endpoint on which a suspect runs: few requests should be there if it crashes.
constexpr double besideSuspect = 0.1;
/// Weight, for work that costs more than the mean, of an endpoint that this node has not seen at work lately. If it has become slow,
/// short work shows it at less cost: with 64 nodes, long work on endpoints not yet known to be slow set the 99th percentile.
constexpr double unseenLately = 0.2;
constexpr base::milliseconds freshness{10'000};
/// Part of the prefill time that a cached prefix is taken to save.
constexpr double prefixSaving = 0.8;

/// The finalizer of splitmix64 (Steele, Lea and Flood, 2014).
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

endpoint_selector::endpoint_selector(std::uint64_t seed, const director_settings &settings, const suspicion_ledger &ledger)
    : m_random(seed)
    , m_settings(settings)
    , m_ledger(ledger)
{
}

bool endpoint_selector::canTake(const pool_member &member, int nodes, base::time_point now) const
{
    const endpoint_state &endpoint = *member.endpoint;
    if (endpoint.facts.leaving || member.ejected || endpoint.inFlight >= std::max(1.0, endpoint.share(nodes))) {
        return false;
    }
    // A down or doubtful endpoint gets single requests, spaced in time, that show whether it is back.
    return now >= endpoint.nextTry || (!endpoint.isDown && !m_ledger.isUnjudged(endpoint.serial));
}

bool endpoint_selector::canTakeLong(const pool_state &pool, const pool_member &member, int nodes, base::time_point now)
{
    const endpoint_state &endpoint = *member.endpoint;
    if (now - endpoint.shortSeen > shortMemory) {
        return true;
    }
    return endpoint.longInFlight < std::max(1.0, pool.longShare * endpoint.share(nodes));
}

void endpoint_selector::survey(pool_state &pool, int nodes, base::time_point now)
{
    m_open.clear();
    m_longOpen = false;
    m_staleBefore = now - freshness;
    m_costly = pool.meanCost;
    bool shortAbout = false;
    for (pool_member &member : pool.members) {
        shortAbout = shortAbout || now - member.endpoint->shortSeen <= shortMemory;
        if (canTake(member, nodes, now)) {
            m_open.push_back({&member, canTakeLong(pool, member, nodes, now)});
            m_longOpen = m_longOpen || m_open.back().takesLong;
        } else if (member.endpoint->inFlight >= member.endpoint->share(nodes)) {
            member.endpoint->limit.noteUsedUp();
        }
    }
    // The pool's bound matters when the shares are so small that each endpoint's bound is rounded up.
    if (shortAbout && pool.longInFlight >= std::max(1.0, pool.longShare * pool.capacity)) {
        m_longOpen = false;
    }
}

double endpoint_selector::weightOf(const pool_member &member, const request_state &request) const
{
    double weight = member.weight;
    if (member.endpoint->suspectsInFlight > 0) {
        weight *= besideSuspect;
    }
    if (request.cost > m_costly && member.latency.lastSample() < m_staleBefore) {
        weight *= unseenLately;
    }
    return weight;
}

pool_member *endpoint_selector::draw(const request_state &request, bool avoidLast)
{
    m_sums.clear();
    double sum = 0;
    for (const candidate &open : m_open) {
        const bool fits = (open.takesLong || !request.lane.isLong) && !(avoidLast && open.member->endpoint == request.endpoint);
        if (fits) {
            sum += weightOf(*open.member, request);
        }
        m_sums.push_back(sum);
    }
    if (sum <= 0) {
        return nullptr;
    }
    const double target = std::generate_canonical<double, 53>(m_random) * sum;
    const auto place = std::upper_bound(m_sums.begin(), m_sums.end(), target);
    return m_open[static_cast<std::size_t>(std::min(place, m_sums.end() - 1) - m_sums.begin())].member;
}

pool_member *endpoint_selector::affine(const request_state &request) const
{
    // Rendezvous hashing: all nodes send a prefix to the same endpoint without telling each other.
    pool_member *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const candidate &open : m_open) {
        const std::uint64_t score = mix(open.member->endpoint->idHash ^ request.facts.prefix);
        if ((open.takesLong || !request.lane.isLong) && score >= bestScore) {
            best = open.member;
            bestScore = score;
        }
    }
    return best;
}

double endpoint_selector::expectedWait(const pool_state &pool, const pool_member &member)
{
    const endpoint_state &endpoint = *member.endpoint;
    const double work = endpoint.outstanding + std::max(0.0, endpoint.othersNow) * pool.meanCost;
    // An engine works on its whole batch at once, so the work is spread over the places that the limit stands for.
    return work * member.latency.msPerCost(pool.msPerCost) / endpoint.limit.limit() + endpoint.facts.zoneDistanceMs;
}

pool_member *endpoint_selector::pick(const pool_state &pool, const request_state &request, std::string &why)
{
    for (const candidate &open : m_open) {
        // Whether an endpoint is back is found out by the first request that fits.
        if (open.member->endpoint->isDown || m_ledger.isUnjudged(open.member->endpoint->serial)) {
            why = "tried again after a failure";
            return open.member;
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
    if (request.facts.prefix != 0) {
        pool_member *cached = affine(request);
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
    std::snprintf(text, sizeof text, "wait %.0f ms against %.0f ms, %zu open", std::min(firstWait, secondWait), std::max(firstWait, secondWait), m_open.size());
    why = text;
    return takeSecond ? second : first;
}

pool_member *endpoint_selector::pickForSuspect(const pool_state &pool, const request_state &request, bool mayDeviate)
{
    // The suspects' ranks go round the pool's endpoints in an order that is the same on all nodes. Were they all sent to the least
    // loaded endpoints, those of several nodes would meet, and a harmless one would be present at a second crash.
    m_order.clear();
    for (const pool_member &member : pool.members) {
        m_order.push_back(member.endpoint->idHash);
    }
    std::sort(m_order.begin(), m_order.end());
    const std::uint64_t wanted = m_order[m_ledger.rankOf(request.facts.fingerprint) % m_order.size()];
    pool_member *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const candidate &open : m_open) {
        const endpoint_state &endpoint = *open.member->endpoint;
        if (endpoint.suspectsInFlight > 0 || endpoint.isDown || m_ledger.isUnjudged(endpoint.serial)) {
            continue;
        }
        if (endpoint.idHash == wanted) {
            return open.member;
        }
        // Its own endpoint is often the one that crashed. The next in the order would be the own endpoint of another suspect.
        const std::uint64_t score = mix(endpoint.idHash ^ request.facts.fingerprint);
        if (mayDeviate && score >= bestScore) {
            best = open.member;
            bestScore = score;
        }
    }
    return best;
}

} // namespace chervilbend::routing
