#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/director_settings.hpp>
#include <chervilbend/routing/internal/pool_member.hpp>

#include <vector>

namespace chervilbend::routing
{

/// Outlier detection: compares the latency of each endpoint of a pool with the median of its peers. Slower endpoints get less work. Much
/// slower ones are ejected and probed, but never more than a third of the pool.
class outlier_detector
{
public:
    explicit outlier_detector(const director_settings &settings);

    /// Re-evaluates all members. @p requests is the pool's number of requests so far.
    void evaluate(std::vector<pool_member> &members, long requests, int nodes, base::time_point now);

    /// An ejected member that is due for a probe; nullptr if there is none.
    pool_member *dueProbe(std::vector<pool_member> &members, long requests, base::time_point now) const;
    /// Records that a probe was sent and schedules the next one.
    void recordProbe(pool_member &member, long requests, int nodes, base::time_point now) const;

private:
    void updateWeight(pool_member &member);
    void eject(std::vector<pool_member> &members, long requests, int nodes, base::time_point now);

    const director_settings &m_settings;
    std::vector<double> m_msPerCosts;
};

} // namespace chervilbend::routing
