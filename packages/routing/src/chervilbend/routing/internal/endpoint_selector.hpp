#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/director_settings.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace chervilbend::routing
{

class suspicion_ledger;
struct pool_member;
struct pool_state;
struct request_state;

/// Picks the endpoint for a request: of two weighted random draws the one with the lower expected wait.
class endpoint_selector
{
public:
    endpoint_selector(std::uint64_t seed, const director_settings &settings, const suspicion_ledger &ledger);

    /// Commands.

    /// Looks which members of the pool can take a request now.
    void survey(pool_state &pool, int nodes, base::time_point now);
    /// The member for the request, of those last surveyed; nullptr when none can take it. @p why says why this one.
    pool_member *pick(const pool_state &pool, const request_state &request, std::string &why);
    /// The member for a request that may crash its endpoint: one without another suspect, also of other nodes as far as is known.
    /// Only its own endpoint in that order, unless it @p mayDeviate because that endpoint does not become free.
    pool_member *pickForSuspect(const pool_state &pool, const request_state &request, bool mayDeviate);

    /// Queries, of the last survey.

    bool hasRoom() const
    {
        return !m_open.empty();
    }
    bool hasRoomForLong() const
    {
        return m_longOpen;
    }

private:
    struct candidate {
        pool_member *member;
        bool takesLong;
    };

    bool canTake(const pool_member &member, int nodes, base::time_point now) const;
    static bool canTakeLong(const pool_state &pool, const pool_member &member, int nodes, base::time_point now);
    double weightOf(const pool_member &member, const request_state &request) const;
    pool_member *draw(const request_state &request, bool avoidLast);
    pool_member *affine(const request_state &request) const;
    static double expectedWait(const pool_state &pool, const pool_member &member);

    std::mt19937_64 m_random;
    const director_settings &m_settings;
    const suspicion_ledger &m_ledger;
    std::vector<candidate> m_open;
    std::vector<double> m_sums;
    std::vector<std::uint64_t> m_order;
    bool m_longOpen = false;
    base::time_point m_staleBefore;
    /// Cost from which work is worth more care.
    double m_costly = 0;
};

} // namespace chervilbend::routing
