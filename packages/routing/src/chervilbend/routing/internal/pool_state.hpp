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

/// What the director holds of a pool: its endpoints, what is learned of its requests, and those that wait.
struct pool_state {
    pool_state(std::string called, const director_settings &settings);

    std::string name;
    std::vector<pool_member> members;
    cost_predictor predictor;
    quantile_estimator medianCost{0.5};
    admission_queue queue;
    /// Requests that may have crashed an endpoint; they run apart and must not block the others.
    std::list<request_handle> suspects;

    long requests = 0;
    /// Tickets that refer to the pool.
    int handleCount = 0;
    int inFlight = 0;
    int longInFlight = 0;
    /// This node's requests in the pool, as its own latency allows. Matters when many nodes share the endpoints: each endpoint's share
    /// is then rounded up to one request, and a single endpoint gives a node too few samples to adapt.
    concurrency_limit limit;
    /// Requests that this node may have in flight in the pool.
    double capacity = 1;
    /// Mean over the members.
    double msPerCost = 30;
    /// Mean cost of a request.
    double meanCost = 32;
    /// Part of the slots that long work may hold now.
    double longShare = 0.5;
    /// Predicted cost from which work is long.
    double longThreshold = 0;
    base::time_point lastShed;
    /// Work that seems unable to meet its deadline is let through once a second, so that a wrong prediction is corrected.
    base::time_point nextOptimistic;
    bool hasShed = false;
    /// Whether something changed since the queue was last looked at.
    bool isDirty = false;

    bool isWaiting() const
    {
        return queue.size() > 0 || !suspects.empty();
    }

    /// The member for an endpoint; nullptr when it has left the pool.
    pool_member *memberOf(const endpoint_state *endpoint);
    /// Brings capacity, speeds and queue bounds up to date.
    void refresh(int nodes, base::time_point now, const director_settings &settings);

private:
    void ageReports(base::time_point now);
    void adaptLongShare(base::time_point now, const director_settings &settings);
};

} // namespace chervilbend::routing
