#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/internal/admission_queue.hpp>
#include <chervilbend/routing/internal/concurrency_limit.hpp>
#include <chervilbend/routing/internal/cost_predictor.hpp>
#include <chervilbend/routing/internal/pool_member.hpp>
#include <chervilbend/routing/internal/quantile_estimator.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <list>
#include <string>
#include <vector>

namespace chervilbend::routing
{

/// The director's state of a pool: its endpoints, the statistics of its requests, and the requests that wait.
struct pool_state {
    pool_state(std::string poolName, const director_settings &settings);

    std::string name;
    std::vector<pool_member> members;
    cost_predictor predictor;
    quantile_estimator medianCost{0.5};
    admission_queue queue;
    /// Waiting requests that are suspected of crashing an endpoint. They are kept out of the queue so that they do not block the others.
    std::list<request_handle> suspects;
    /// Waiting requests that continue a stream at endpoints of one software version. In the queue, one whose endpoints are busy would block the others.
    std::list<request_handle> resumptions;

    long requests = 0;
    /// Number of request handles that refer to the pool.
    int handleCount = 0;
    int inFlight = 0;
    int longInFlight = 0;
    /// Adaptive limit on this node's requests in the whole pool. It takes effect when many nodes share the endpoints: each endpoint's share
    /// is then rounded up to one request, and a single endpoint gives a node too few samples to adapt its limit.
    concurrency_limit limit;
    /// Number of requests that this node may have in flight in the pool.
    double capacity = 1;
    /// Mean latency in milliseconds per unit of cost over the usable members.
    double msPerCost = 30;
    /// Moving average of the predicted cost of a request.
    double meanCost = 32;
    /// Share of the slots that long requests may currently occupy.
    double longShare = 0.5;
    /// Predicted cost above which a request is long.
    double longThreshold = 0;
    base::time_point lastShed;
    /// Next time at which a request is admitted although it seems unable to meet its deadline, so that a wrong prediction gets corrected.
    base::time_point nextLateAdmission;
    bool hasShed = false;
    /// Whether something has changed since the queue was last processed.
    bool isDirty = false;

    bool hasWaitingRequests() const
    {
        return queue.size() > 0 || !suspects.empty() || !resumptions.empty();
    }

    /// The time in milliseconds in which the queue drains, without new requests.
    double drainMs(int nodes) const;
    /// The member for an endpoint; nullptr if the endpoint is not in the pool.
    pool_member *memberOf(const endpoint_state *endpoint);
    /// Whether an endpoint of the version is in use. One that is down doesn't count: what answers at its address next may be another process.
    bool hasVersion(const base::software_version &version) const;
    /// Recomputes the capacity, the mean latency, the queue bounds and the share of long requests.
    void refresh(int nodes, base::time_point now, const director_settings &settings);

private:
    void decayReports(base::time_point now);
    void adaptLongShare(base::time_point now, const director_settings &settings);
};

} // namespace chervilbend::routing
