#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/endpoint_facts.hpp>
#include <chervilbend/routing/internal/concurrency_limit.hpp>
#include <chervilbend/routing/load_report.hpp>

#include <cstdint>
#include <vector>

namespace chervilbend::routing
{

struct pool_state;

/// What the director holds of an endpoint over all pools that it serves.
struct endpoint_state {
    endpoint_state(const endpoint_facts &known, std::uint64_t number, const director_settings &settings);

    endpoint_facts facts;
    /// Distinguishes it from an earlier endpoint of the same id.
    std::uint64_t serial;
    std::uint64_t idHash;
    std::vector<pool_state *> pools;
    concurrency_limit limit;

    /// This node's requests that run on it.
    int inFlight = 0;
    int longInFlight = 0;
    int suspectsInFlight = 0;
    /// Their predicted cost that is still to do.
    double outstanding = 0;
    /// Last time short work was sent to it; long work is held back only while there is short work.
    base::time_point shortSeen;
    /// Cost from which work is long for the shortest work among the pools that it serves.
    double longThreshold = 0;

    /// Other nodes' requests by the last report.
    double others = 0;
    /// The same after ageing towards the pool's mean.
    double othersNow = 0;
    /// When the last report was true; epoch when there is none.
    base::time_point reportTime;
    std::int64_t incarnation = 0;

    /// Refuses connections; tried again at nextTry.
    bool isDown = false;
    base::time_point downSince;
    /// Earliest time of the next request while it is down, or while a broken connection waits to be judged.
    base::time_point nextTry;

    /// This node's share of the limit; may be below 1 when many nodes use the endpoint.
    double share(int nodes) const
    {
        return limit.limit() / nodes;
    }

    /// Takes over a report that arrives at @p now.
    void setReport(const load_report &report, base::time_point now);
    /// Brings othersNow up to date: a report loses its weight against @p mean, the pool's mean of others, as it gets older.
    void ageReport(double mean, base::time_point now);
};

} // namespace chervilbend::routing
