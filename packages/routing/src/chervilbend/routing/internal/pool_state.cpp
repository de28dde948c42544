#include <chervilbend/routing/internal/pool_state.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>

#include <algorithm>
#include <limits>

namespace chervilbend::routing
{

namespace
{

/// Part of the way that the share of long work moves per window: about 5 s to move most of it.
constexpr double shareStep = 0.05;

} // namespace

pool_state::pool_state(std::string called, const director_settings &settings)
    : name(std::move(called))
    , queue(settings)
    , limit(settings)
    , longShare(settings.longShare)
    , longThreshold(std::numeric_limits<double>::infinity())
{
}

pool_member *pool_state::memberOf(const endpoint_state *endpoint)
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const pool_member &member) { return member.endpoint.get() == endpoint; });
    return found == members.end() ? nullptr : &*found;
}

void pool_state::refresh(int nodes, base::time_point now, const director_settings &settings)
{
    double shares = 0;
    double costPerMs = 0;
    double speed = 0;
    int usable = 0;
    for (const pool_member &member : members) {
        if (member.endpoint->facts.leaving || member.endpoint->isDown || member.ejected) {
            continue;
        }
        const double share = member.endpoint->share(nodes);
        const double rate = std::max(0.01, member.latency.msPerCost(msPerCost));
        shares += share;
        costPerMs += share / rate;
        speed += rate;
        ++usable;
    }
    limit.advance(now);
    capacity = std::max(limit.limit(), shares);
    // While no endpoint is usable, the queue keeps its bounds: waiting is then all that can be done.
    if (usable > 0) {
        msPerCost = speed / usable;
        queue.setBounds(costPerMs, now);
    }
    ageReports(now);
    adaptLongShare(now, settings);
}

void pool_state::adaptLongShare(base::time_point now, const director_settings &settings)
{
    // A fixed share would waste slots where most work is long. A burst of short work is over before long work has waited for as long
    // as it runs, so the share widens only when long work lacks slots for good.
    const double waited = queue.longWaitOverCost(now) / msPerCost;
    const double lacking = std::clamp(waited - 1, 0.0, 1.0);
    const double wanted = settings.longShare + (settings.longShareMost - settings.longShare) * lacking;
    longShare += (wanted - longShare) * shareStep;
}

void pool_state::ageReports(base::time_point now)
{
    double sum = 0;
    int reported = 0;
    for (const pool_member &member : members) {
        if (member.endpoint->reportTime != base::time_point{}) {
            sum += member.endpoint->others;
            ++reported;
        }
    }
    const double mean = reported > 0 ? sum / reported : 0;
    for (const pool_member &member : members) {
        member.endpoint->ageReport(mean, now);
    }
}

} // namespace chervilbend::routing
