#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <string>
#include <vector>

namespace chervilbend::fleet
{

/// How often a request of a route may be executed.
enum class route_kind {
    /// Idempotent: may be sent again after any failure.
    repeatable,
    /// Executed at most once per attempt of a caller.
    once,
    /// Answers with a stream of events; may be sent again only where the stream is resumable.
    stream,
};

/// A service's share of a route's requests.
struct traffic_share {
    base::service_id service;
    /// Relative to the other shares of the route; 0 or more.
    double weight = 1;
};

/// Routing rule for requests with one host name and path prefix.
struct route_rule {
    std::string name;
    std::string host;
    /// Starts and ends with '/'.
    std::string pathPrefix;
    route_kind kind = route_kind::once;
    /// Whether a stream can be resumed at another endpoint after its last event.
    bool resumable = false;
    /// Maximum time until the answer is complete.
    base::milliseconds timeout{30'000};
    /// Target time to the answer, or to a stream's first event; requests that meet it get full credit.
    base::milliseconds targetLatency{1'000};
    /// Target for the maximum pause between two events of a stream; 0 when not set.
    base::milliseconds longestGap{0};
    /// 0 is the most urgent.
    int priority = 5;
    /// Maximum number of endpoints that one attempt of a caller is sent to; 1 or more.
    int attempts = 1;
    std::vector<traffic_share> shares;
    /// Requests need no key, although the configuration has accounts.
    bool isPublic = false;

    bool isRepeatable() const
    {
        return kind == route_kind::repeatable || (kind == route_kind::stream && resumable);
    }
};

} // namespace chervilbend::fleet
