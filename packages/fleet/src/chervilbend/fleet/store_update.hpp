#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fleet/fleet_store.hpp>

#include <cstdint>
#include <vector>

namespace chervilbend::fleet
{

/// What the holder of the command lease has read from the platform's store. Nodes that receive it need not read the store themselves.
struct store_update {
    /// Store position up to which the registrations were read; below 0 when the holder has not read them.
    std::int64_t registrationsPosition = -1;
    /// Time since the request of that read was sent.
    base::milliseconds registrationsAge{0};
    /// Number of changes to the registrations that this holder has seen.
    std::int64_t registrationsVersion = 0;
    /// Whether this is the full list of registrations, not only the changes since the version that the node had.
    bool isSnapshot = false;
    /// Without the models that engines hold; those are sent as engine_update.
    std::vector<endpoint_change> registrations;
    /// Store position up to which the configuration was read; below 0 when the holder has not read it.
    std::int64_t configurationPosition = -1;
    /// Time since the store last confirmed that there is nothing newer.
    base::milliseconds configurationAge{0};
};

} // namespace chervilbend::fleet
