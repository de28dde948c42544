#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/director_settings.hpp>
#include <chervilbend/routing/endpoint_process.hpp>
#include <chervilbend/routing/internal/pool_willingness.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace chervilbend::routing
{

class crash_suspect_tracker;
class endpoint_rate_limits;
struct pool_member;
struct pool_state;
struct request_state;

/// Selects the endpoint for a request by power of two choices: of two weighted random draws, the one with the lower expected wait.
class endpoint_selector
{
public:
    endpoint_selector(std::uint64_t seed, const director_settings &settings, const crash_suspect_tracker &suspects, const endpoint_rate_limits &rateLimits);

    /// Commands.

    /// Determines the members of the pool that can accept a request now. pick() and pickForSuspect() choose among these.
    void refreshCandidates(pool_state &pool, int nodes, base::time_point now);
    /// Selects the member for the request; nullptr if none can accept it. @p why is set to the reason for the choice.
    pool_member *pick(const pool_state &pool, const request_state &request, std::string &why);
    /// Selects the member for a request that continues a stream, among those of its software version; nullptr if none of them can accept it.
    pool_member *pickForResumption(const pool_state &pool, const request_state &request);
    /// Selects the member for a request that is suspected of crashing endpoints, so that it shares the endpoint with no other suspect, as
    /// far as known also of other nodes. This is the endpoint assigned to its rank or, with @p allowFallback, another one if the assigned
    /// one is not free.
    pool_member *pickForSuspect(const pool_state &pool, const request_state &request, bool allowFallback);

    /// Queries.

    /// The endpoints that could take a request but for their rate limit.
    std::vector<endpoint_process> limitedEndpoints(const pool_state &pool, int nodes, base::time_point now) const;
    pool_willingness willingnessOf(const pool_state &pool, int nodes, base::time_point now) const;

    /// Whether an endpoint other than the one that has the request could accept it now.
    bool hasRoomElsewhere(const pool_state &pool, const request_state &request, int nodes, base::time_point now) const;

    /// The following queries refer to the last call of refreshCandidates().

    bool hasRoom() const
    {
        return !m_candidates.empty();
    }
    bool hasRoomForLong() const
    {
        return m_acceptsLong;
    }

private:
    struct candidate {
        pool_member *member;
        bool acceptsLong;
    };

    /// @p leastBound is the number of requests that may be in flight although the node has fewer slots at the endpoint.
    bool canAccept(const pool_member &member, int nodes, base::time_point now, double leastBound = 0) const;
    bool canAcceptWithinRate(const pool_member &member, int nodes, base::time_point now, double leastBound = 0) const;
    static bool canAcceptLong(const pool_state &pool, const pool_member &member, int nodes, base::time_point now);
    double weightOf(const pool_member &member, const request_state &request) const;
    pool_member *draw(const request_state &request, bool avoidLast);
    pool_member *affinityMember(const request_state &request) const;
    static double expectedWait(const pool_state &pool, const pool_member &member);

    std::mt19937_64 m_random;
    const director_settings &m_settings;
    const crash_suspect_tracker &m_suspects;
    const endpoint_rate_limits &m_rateLimits;
    std::vector<candidate> m_candidates;
    std::vector<double> m_cumulativeWeights;
    std::vector<std::uint64_t> m_endpointOrder;
    bool m_acceptsLong = false;
    base::time_point m_staleBefore;
    /// The pool's mean cost. Requests above it avoid endpoints whose latency samples are stale.
    double m_meanCost = 0;
};

} // namespace chervilbend::routing
