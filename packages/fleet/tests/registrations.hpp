#pragma once

#include <chervilbend/fleet/fleet_store.hpp>

#include <cstdint>
#include <string>

namespace chervilbend::fleet::test
{

/// A registration of an endpoint whose process started at 5.
inline endpoint_change entryOf(const std::string &id, std::int64_t heartbeat, bool draining = false)
{
    endpoint_change change;
    change.id = base::endpoint_id(id);
    change.entry.emplace();
    change.entry->id = change.id;
    change.entry->service = base::service_id("chat");
    change.entry->address = {"127.0.0.1", 4000};
    change.entry->zone = base::zone_id("a");
    change.entry->startedAt = 5;
    change.entry->heartbeat = heartbeat;
    change.entry->draining = draining;
    return change;
}

} // namespace chervilbend::fleet::test
