#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/internal/admission_queue.hpp>
#include <chervilbend/routing/internal/fair_queue.hpp>
#include <chervilbend/routing/request_facts.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <cstdint>
#include <list>
#include <memory>

namespace chervilbend::routing
{

struct endpoint_state;
struct pool_state;

/// Where a request is between submission and its end.
enum class request_phase {
    free,
    queued,
    /// Waits among its pool's suspects.
    held,
    running,
    /// Given up; the refusal has not been taken yet.
    refused,
};

/// A submitted request.
struct request_state {
    request_facts facts;
    request_handle id = 0;
    request_phase phase = request_phase::free;
    pool_state *pool = nullptr;
    /// The endpoint that it runs on, or ran on before a retry.
    std::shared_ptr<endpoint_state> endpoint;

    double inputCost = 1;
    double predictedTokens = 0;
    /// Predicted cost.
    double cost = 1;
    /// Part of the endpoint's outstanding cost that is this request's.
    double outstanding = 0;
    admission_queue::lane lane;
    fair_queue::place place;
    std::list<request_handle>::iterator heldPlace;

    base::time_point submitted;
    base::time_point queuedSince;
    /// After this time it can no longer meet its deadline.
    base::time_point latestStart;
    base::time_point sent;
    base::time_point lastSample;
    std::int64_t generated = 0;
    base::time_point firstByteAt;
    bool hasFirstByte = false;
    /// The first byte's sample has not been taken yet: only what follows tells whether the answer is streamed.
    bool isFirstByteOpen = false;
    bool isSuspect = false;
    /// Counts in the long work of its endpoint and pool.
    bool countsAsLong = false;
};

} // namespace chervilbend::routing
