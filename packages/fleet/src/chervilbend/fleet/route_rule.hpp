#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <string>
#include <vector>

namespace chervilbend::fleet
{

/// How often the work behind a route may run.
enum class route_kind {
    /// Idempotent: may be sent again after any failure.
    repeatable,
    /// Runs at most once for each attempt of a caller.
    once,
    /// Answers with a series of events; repeatable only where it can be resumed.
    stream,
};

/// A service's part of a route's requests.
struct traffic_share {
    base::service_id service;
    /// Relative to the other shares of the route; 0 or more.
    double weight = 1;
};

/// Where requests of one host name and path prefix go.
struct route_rule {
    std::string name;
    std::string host;
    /// Starts and ends with '/'.
    std::string pathPrefix;
    route_kind kind = route_kind::once;
    /// Whether a stream can go on at another endpoint after its last event.
    bool resumable = false;
    /// Longest time that a request may be kept waiting for its whole answer.
    base::milliseconds timeout{30'000};
    /// Time to the answer, or to a stream's first event, that earns the full credit.
    base::milliseconds targetLatency{1'000};
    /// Longest pause between two events of a stream that is still on time; 0 when not given.
    base::milliseconds longestGap{0};
    /// 0 is the most urgent.
    int priority = 5;
    /// Endpoints that one attempt of a caller may be sent to; 1 or more.
    int attempts = 1;
    std::vector<traffic_share> shares;

    bool isRepeatable() const
    {
        return kind == route_kind::repeatable || (kind == route_kind::stream && resumable);
    }
};

} // namespace chervilbend::fleet
