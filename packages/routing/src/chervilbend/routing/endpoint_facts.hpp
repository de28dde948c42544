#pragma once

#include <chervilbend/base/ids.hpp>

#include <set>
#include <string>

namespace chervilbend::routing
{

/// What the traffic director knows of an endpoint, apart from its load.
struct endpoint_facts {
    base::endpoint_id endpoint;
    base::zone_id zone;
    /// The pools that it serves: items that are loaded, or "service/ID".
    std::set<std::string> pools;
    /// Takes no new work.
    bool leaving = false;
    /// Estimated round trip to its zone in milliseconds.
    double zoneDistanceMs = 0;
    /// Requests that it runs at once; 0 when it does not say.
    int slots = 0;
};

} // namespace chervilbend::routing
