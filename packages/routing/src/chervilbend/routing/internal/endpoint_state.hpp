#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/endpoint_facts.hpp>
#include <chervilbend/routing/endpoint_process.hpp>
#include <chervilbend/routing/internal/concurrency_limit.hpp>
#include <chervilbend/routing/load_report.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace chervilbend::routing
{

struct pool_state;

/// The director's state of an endpoint, shared by all pools that it serves.
struct endpoint_state {
    endpoint_state(const endpoint_facts &initialFacts, std::uint64_t serialNumber, const director_settings &settings);

    endpoint_facts facts;
    /// Distinguishes the endpoint from an earlier one of the same id.
    std::uint64_t serial;
    std::uint64_t idHash;
    std::vector<pool_state *> pools;
    concurrency_limit limit;

    /// Number of this node's requests that run on the endpoint.
    int inFlight = 0;
    int longInFlight = 0;
    int suspectsInFlight = 0;
    /// Remaining predicted cost of these requests.
    double outstanding = 0;
    /// Last time that a short request was sent to the endpoint. Long requests are limited to their share only while there are short ones.
    base::time_point lastShortWork;
    /// Cost above which a request is long: the lowest threshold among the pools that the endpoint serves.
    double longThreshold = 0;

    /// Number of other nodes' requests according to the last report.
    double remoteInFlight = 0;
    /// The current estimate of that number: the reported value decays towards the pool's mean.
    double estimatedRemoteInFlight = 0;
    /// Time at which the values of the last report were measured; epoch if there is no report.
    base::time_point reportTime;
    std::int64_t incarnation = 0;

    /// The endpoint has refused a request and wants none from this node until then.
    base::time_point pausedUntil;
    /// The refusals within a second above which it fails, as of its last answer or, if that is some time ago, one of another endpoint of a pool; no value if
    /// none is named.
    std::optional<double> toleratedRefusals;
    /// When its last answer named none.
    base::time_point soundAt;
    /// The slots that this node has at a brittle endpoint; no value for others.
    std::optional<int> slotQuota;
    /// The endpoint has said in an answer that it is about to stop.
    bool hasSaidLeaving = false;
    /// The endpoint refuses connections and is tried again at nextTry.
    bool isDown = false;
    base::time_point downSince;
    /// Other nodes have reported that it refuses connections.
    bool isReportedDown = false;
    /// Earliest time of the next request from a pool that avoids the endpoint because of these reports.
    base::time_point nextReportCheck;
    /// Earliest time of the next request while the endpoint is down or has a lost connection that is not yet known to be a crash or not.
    base::time_point nextTry;

    /// This node's share of the limit. Can be below 1 if many nodes use the endpoint.
    double share(int nodes) const
    {
        const double even = limit.limit() / nodes;
        return slotQuota ? std::min(std::max(1.0, even), static_cast<double>(*slotQuota)) : even;
    }

    /// The most requests of this node that may be in flight.
    double maxInFlight(int nodes) const
    {
        return slotQuota ? share(nodes) : std::max(1.0, share(nodes));
    }

    /// Whether it takes no new requests because it is about to stop.
    bool isLeaving() const
    {
        return facts.draining || hasSaidLeaving;
    }

    endpoint_process process() const
    {
        return {facts.endpoint, facts.startedAt};
    }

    /// Applies a report that arrives at @p now.
    void setReport(const load_report &report, base::time_point now);
    /// Updates estimatedRemoteInFlight: the older the last report, the closer the estimate is to @p mean, the pool's mean of remoteInFlight.
    void decayReport(double mean, base::time_point now);
};

} // namespace chervilbend::routing
