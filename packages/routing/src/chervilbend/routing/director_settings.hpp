#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>

namespace chervilbend::routing
{

/// What an operator may set of the routing policy. The defaults are those that docs/decisions/routing.md measured.
struct director_settings {
    /// Concurrent requests an endpoint is first trusted with, over all nodes; 1 to 1024.
    double initialLimit = 16;
    /// Where an endpoint says how many requests it runs at once, its limit starts at so many times that number, stays above half of it and
    /// does not grow; 0.5 to 4. Above 1, a few requests wait at the endpoint, and no slot stays empty while nodes have unequal work.
    double slotFactor = 1.25;
    /// Upper bound of the adaptive limit of an endpoint; 1 to 65536.
    double maximumLimit = 1024;
    /// The limit falls when latency per unit of cost exceeds the best by this factor; 1.5 to 5.
    /// Below 2, the normal slowdown of a full batch counts as overload.
    double latencyTolerance = 2.5;
    /// Time over which latency is averaged before the limit changes; 50 to 5000 ms.
    base::milliseconds window{250};

    /// Work is long when its predicted cost exceeds the pool's median by this factor; 2 to 100.
    double longFactor = 4;
    /// Part of an endpoint's slots that long work may hold while short work is about; 0.1 to 1. Slots kept free let short work start at
    /// once in a burst, and cost little: a batch that is half full does more than half of a full batch's work.
    double longShare = 0.45;
    /// The same when long work would otherwise wait longer than it runs; longShare to 1.
    double longShareMost = 0.9;

    /// Work queued per pool under lasting overload, in time to work it off; 100 to 60000 ms.
    base::milliseconds lastingQueue{2000};
    /// Short work queued per pool otherwise; lastingQueue to 600000 ms.
    base::milliseconds shortQueue{8000};
    /// Long work queued per pool otherwise; lastingQueue to 600000 ms.
    base::milliseconds longQueue{30000};
    /// Overload is lasting when the queue of short work stayed above half of lastingQueue for this long; 100 to 600000 ms.
    base::milliseconds burst{5000};
    /// Requests that may always wait in a pool, whatever the prediction; 1 to 1000.
    std::size_t queueMinimum = 16;
    /// Requests that may wait in a pool at most; 1 to 1000000.
    std::size_t queueMaximum = 10'000;
    /// Wait after which work of lower classes gets its guaranteed share; 100 to 600000 ms.
    base::milliseconds ageing{1000};

    /// Retries as part of a node's requests; 0 to 1.
    double retryShare = 0.1;
    /// Retries that are allowed at once after a quiet time; 1 to 1000. Enough for what one node has in flight on an engine that crashes.
    double retryBurst = 64;
    /// The same over all nodes together, of which each node takes an equal part; 0 to go by retryBurst.
    double clusterRetryBurst = 0;

    /// Latency per cost over the peers' median from which an endpoint gets less work; 1.2 to 10.
    double slowFactor = 2;
    /// The same, from which it is ejected; above slowFactor.
    double ejectFactor = 3;
    /// Samples needed to judge an endpoint; 3 to 1000.
    int slowSamples = 10;
    /// Time between probes of an ejected endpoint, over all nodes; 100 to 60000 ms.
    base::milliseconds probeInterval{1000};
    /// Requests of the pool between two probes of one endpoint, so that probes stay below the 99th percentile; 0 to 10000.
    int probeSpacing = 400;

    /// Whether requests that were present at a crash run apart from each other when they come again.
    bool isolateSuspects = true;
    /// Crashes after which a request is refused; 1 to 10.
    int crashesToRefuse = 2;
    /// Time that a suspect waits before it runs again, so that news of its crash reaches the other nodes; 0 to 60000 ms.
    base::milliseconds suspectHold{3000};
    /// How long a suspicion is kept; 1 min to 24 h.
    base::milliseconds suspicionLife{3'600'000};
    /// Time after which a broken connection that nothing confirms as a crash is forgotten; 1000 to 600000 ms.
    base::milliseconds crashConfirmation{30'000};
};

} // namespace chervilbend::routing
