#pragma once

#include <cstddef>
#include <utility>
#include <vector>

namespace chervilbend::placement
{

/// Where a copy could go and what must leave for it; items and endpoints by index.
struct candidate_place {
    std::size_t endpoint = 0;
    std::vector<std::size_t> victims;
    /// Models that are copied to another endpoint first, with that endpoint; their copy here can then be dropped.
    std::vector<std::pair<std::size_t, std::size_t>> relocations;
    /// Work that the victims' leaving would cost, in endpoints.
    double loss = 0;
    /// Drops that are already under way will make the room.
    bool waits = false;
    double value = 0;
};

/// What the copies that are dropped for another one must leave behind.
enum class eviction {
    /// One copy, whatever was declared: another model would otherwise be unreachable.
    downToOne,
    /// The declared number of copies.
    downToDeclared,
};

} // namespace chervilbend::placement
