#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/director_settings.hpp>
#include <chervilbend/routing/internal/pool_member.hpp>

#include <vector>

namespace chervilbend::routing
{

/// Compares each endpoint of a pool with the median of its peers: slower ones get less work, much slower ones are ejected and probed,
/// never more than a third of the pool.
class slow_detector
{
public:
    explicit slow_detector(const director_settings &settings);

    /// Judges all members anew. @p requests counts the pool's requests.
    void judge(std::vector<pool_member> &members, long requests, int nodes, base::time_point now);

    /// The ejected member that is due for a probe; nullptr when there is none.
    pool_member *dueProbe(std::vector<pool_member> &members, long requests, base::time_point now) const;
    /// A probe was sent.
    void noteProbe(pool_member &member, long requests, int nodes, base::time_point now) const;

private:
    void rate(pool_member &member);
    void eject(std::vector<pool_member> &members, long requests, int nodes, base::time_point now);

    const director_settings &m_settings;
    std::vector<double> m_rates;
};

} // namespace chervilbend::routing
