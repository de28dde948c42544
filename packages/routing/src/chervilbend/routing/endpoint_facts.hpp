#pragma once

#include <chervilbend/base/ids.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace chervilbend::routing
{

/// Properties of an endpoint, apart from its load, as known to the traffic director.
struct endpoint_facts {
    base::endpoint_id endpoint;
    base::zone_id zone;
    /// The pools that it serves: ids of loaded items, or "service/ID" for a plain service.
    std::set<std::string> pools;
    /// The endpoint is about to stop and accepts no new requests.
    bool draining = false;
    /// Estimated network round trip time to its zone in milliseconds.
    double zoneRoundTripMs = 0;
    /// Number of requests that it runs concurrently; 0 if it does not report this.
    int slots = 0;
    /// Distinguishes successive processes of the endpoint; 0 if it is not known.
    std::int64_t startedAt = 0;
    /// Empty if it is not known.
    base::software_version softwareVersion{};
};

} // namespace chervilbend::routing
