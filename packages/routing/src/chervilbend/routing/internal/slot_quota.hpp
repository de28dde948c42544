#pragma once

#include <cstdint>

namespace chervilbend::routing
{

/// The number of an endpoint's slots that the node with this rank has, if all are dealt to the nodes as evenly as possible. The sum over all ranks is the
/// number of slots. @p offset varies between endpoints, so that no node has the odd slots of all of them.
constexpr int slotQuota(int slots, int nodes, int rank, std::uint64_t offset)
{
    const auto count = static_cast<std::uint64_t>(nodes);
    const std::uint64_t position = (static_cast<std::uint64_t>(rank) % count + offset % count) % count;
    return slots / nodes + (position < static_cast<std::uint64_t>(slots % nodes) ? 1 : 0);
}

} // namespace chervilbend::routing
