#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>

namespace chervilbend::routing
{

/// Parameters of the routing policy. docs/decisions/routing.md has the measurements behind the defaults.
struct director_settings {
    /// Initial concurrency limit of an endpoint, summed over all nodes; 1 to 1024 requests.
    double initialLimit = 16;
    /// If an endpoint reports its number of slots, its limit starts at this multiple of the slots, never grows and never falls below half
    /// of the slots; 0.5 to 4. Above 1, a few requests wait at the endpoint, so that no slot stays empty when load differs between nodes.
    double slotFactor = 1.25;
    /// Upper bound of an endpoint's adaptive concurrency limit; 1 to 65536 requests.
    double maximumLimit = 1024;
    /// The limit is decreased when the latency per unit of cost exceeds the lowest observed by this factor; 1.5 to 5.
    /// Below 2, the normal slowdown of a full batch would count as overload.
    double latencyTolerance = 2.5;
    /// Length of the window over which latency is averaged before the limit is adjusted; 50 to 5000 ms.
    base::milliseconds window{250};

    /// A request counts as long when its predicted cost exceeds the pool's median cost by this factor; 2 to 100.
    double longFactor = 4;
    /// Share of an endpoint's slots that long requests may occupy while there are also short ones; 0.1 to 1. The reserved slots let a burst
    /// of short requests start immediately and cost little: a half-full batch has more than half of the throughput of a full one.
    double longShare = 0.45;
    /// Upper bound of that share, used when long requests would otherwise wait longer than they run; longShare to 1.
    double longShareMaximum = 0.9;

    /// Bound of each pool's queue under sustained overload, as the time to drain it; 100 to 60000 ms.
    base::milliseconds sustainedQueue{2000};
    /// Bound of each pool's queue of short requests otherwise, as the time to drain it; sustainedQueue to 600000 ms.
    base::milliseconds shortQueue{8000};
    /// Bound of each pool's queue of long requests otherwise, as the time to drain it; sustainedQueue to 600000 ms.
    base::milliseconds longQueue{30000};
    /// Overload counts as sustained once the queue of short requests has stayed above half of sustainedQueue for this long; 100 to 600000 ms.
    base::milliseconds burstDuration{5000};
    /// Number of requests that may always wait in a pool, whatever their predicted cost; 1 to 1000.
    std::size_t queueMinimum = 16;
    /// Maximum number of requests that wait in a pool; 1 to 1000000.
    std::size_t queueMaximum = 10'000;
    /// Waiting time after which requests of lower classes receive their guaranteed share; 100 to 600000 ms.
    base::milliseconds ageingTime{1000};

    /// Maximum ratio of retries to a node's requests; 0 to 1.
    double retryShare = 0.1;
    /// Size of the retry burst that is allowed after a period without retries; 1 to 1000. The default covers the requests that one node
    /// has in flight on an engine that crashes.
    double retryBurst = 64;
    /// The retries of each period of this length are limited to retryShare of its requests and the burst; 0 for a token bucket; 0 to 600000 ms.
    base::milliseconds retryWindow{0};
    /// The retry burst summed over all nodes, of which each node gets an equal part; 0 to use retryBurst per node instead.
    double clusterRetryBurst = 0;

    /// Ratio of an endpoint's latency per unit of cost to the median of its peers above which it gets less work; 1.2 to 10.
    double slowFactor = 2;
    /// The ratio from which the endpoint is ejected; above slowFactor.
    double ejectFactor = 3;
    /// Minimum number of latency samples before an endpoint is compared with its peers; 3 to 1000.
    int outlierMinimumSamples = 10;
    /// Interval between probes of an ejected endpoint, over all nodes; 100 to 60000 ms.
    base::milliseconds probeInterval{1000};
    /// Minimum number of requests of the pool between two probes of one endpoint, so that slow probes do not reach the 99th percentile of
    /// latency; 0 to 10000.
    int requestsBetweenProbes = 400;

    /// Whether requests that were in flight on a crashed endpoint are isolated from each other when they are submitted again, and refused after
    /// crashesToRefuse. Otherwise prompt_part_tracker alone decides which requests are refused.
    bool isolateSuspects = true;
    /// Number of crashes after which a request is refused; 1 to 10.
    int crashesToRefuse = 2;
    /// Time that a suspected request waits before it runs again, so that the crash becomes known to the other nodes; 0 to 60000 ms.
    base::milliseconds suspectHoldTime{3000};
    /// Time after which a suspicion expires; 1 min to 24 h.
    base::milliseconds suspicionLifetime{3'600'000};
    /// Time after which a lost connection that was not confirmed as a crash is dismissed; 1000 to 600000 ms.
    base::milliseconds crashConfirmationTimeout{30'000};
};

} // namespace chervilbend::routing
