#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/fleet/fleet_store.hpp>

#include <cstdint>
#include <vector>

namespace chervilbend::fleet
{

/// What the holder of the command lease has read in the platform's store, for nodes that then need not read it themselves.
struct store_update {
    /// Store position up to which the registrations were read; below 0 when the holder has not read them.
    std::int64_t registrationsPosition = -1;
    /// Time since that read was sent.
    base::milliseconds registrationsAge{0};
    /// Counts the changes of the registrations at this holder.
    std::int64_t registrationsVersion = 0;
    /// Whether the changes are all registrations rather than those since the version that the node had.
    bool isWhole = false;
    /// Without the models that engines hold, which the news of the engines tells.
    std::vector<endpoint_change> registrations;
    /// Store position up to which the configuration was read; below 0 when the holder has not read it.
    std::int64_t configurationPosition = -1;
    /// Time since the store last said that nothing newer is there.
    base::milliseconds configurationAge{0};
};

} // namespace chervilbend::fleet
