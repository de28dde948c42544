#include <chervilbend/routing/internal/pool_state.hpp>

#include <chervilbend/routing/internal/endpoint_state.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace chervilbend::routing
{

namespace
{

/// Fraction by which the share of long requests approaches its target per window. It covers most of the way in about 5 s.
constexpr double longShareStep = 0.05;

} // namespace

pool_state::pool_state(std::string poolName, const director_settings &settings)
    : name(std::move(poolName))
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

bool pool_state::hasVersion(const base::software_version &version) const
{
    return std::any_of(members.begin(), members.end(), [&](const pool_member &member) {
        const endpoint_state &endpoint = *member.endpoint;
        return endpoint.facts.softwareVersion == version && !endpoint.isLeaving() && !endpoint.isDown;
    });
}

double pool_state::drainMs(int nodes) const
{
    // The capacity may exceed the number of requests that the endpoints' own limits allow.
    double places = 0;
    for (const pool_member &member : members) {
        places += member.isUsable() ? std::ceil(member.endpoint->maxInFlight(nodes)) : 0;
    }
    return queue.cost() * msPerCost / (places > 0 ? std::min(capacity, places) : capacity);
}

void pool_state::refresh(int nodes, base::time_point now, const director_settings &settings)
{
    double shareSum = 0;
    double costPerMs = 0;
    double msPerCostSum = 0;
    int usableCount = 0;
    for (const pool_member &member : members) {
        if (!member.isUsable()) {
            continue;
        }
        const double share = member.endpoint->share(nodes);
        const double memberMsPerCost = std::max(0.01, member.latency.msPerCost(msPerCost));
        shareSum += share;
        costPerMs += share / memberMsPerCost;
        msPerCostSum += memberMsPerCost;
        ++usableCount;
    }
    limit.advance(now);
    capacity = std::max(limit.limit(), shareSum);
    // While no endpoint is usable, the queue keeps its bounds, since requests can only wait.
    if (usableCount > 0) {
        msPerCost = msPerCostSum / usableCount;
        queue.setBounds(costPerMs, now);
    }
    decayReports(now);
    adaptLongShare(now, settings);
}

void pool_state::adaptLongShare(base::time_point now, const director_settings &settings)
{
    // A fixed share would waste slots where most requests are long. A burst of short requests ends before long ones have waited for as
    // long as they run, so the share grows only when long requests persistently lack slots.
    const double waitRatio = queue.longestWaitPerCost(now) / msPerCost;
    const double shortage = std::clamp(waitRatio - 1, 0.0, 1.0);
    const double targetShare = settings.longShare + (settings.longShareMaximum - settings.longShare) * shortage;
    longShare += (targetShare - longShare) * longShareStep;
}

void pool_state::decayReports(base::time_point now)
{
    double sum = 0;
    int reportedCount = 0;
    for (const pool_member &member : members) {
        if (member.endpoint->reportTime != base::time_point{}) {
            sum += member.endpoint->remoteInFlight;
            ++reportedCount;
        }
    }
    const double mean = reportedCount > 0 ? sum / reportedCount : 0;
    for (const pool_member &member : members) {
        member.endpoint->decayReport(mean, now);
    }
}

} // namespace chervilbend::routing
