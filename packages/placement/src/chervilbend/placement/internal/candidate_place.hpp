#pragma once

#include <cstddef>
#include <utility>
#include <vector>

namespace chervilbend::placement
{

/// An endpoint that could hold a copy, and the copies to evict or relocate for it. Items and endpoints are given by index.
struct candidate_place {
    std::size_t endpoint = 0;
    std::vector<std::size_t> victims;
    /// Models to copy to another endpoint first, with the index of that endpoint, so that their copies here can be dropped.
    std::vector<std::pair<std::size_t, std::size_t>> relocations;
    /// Cost of the evictions and relocations, in fully utilised endpoints.
    double loss = 0;
    /// Drops in progress will free enough memory.
    bool waitsForDrops = false;
    double value = 0;
};

/// How many copies of a model must remain when one is evicted for another model.
enum class eviction_limit {
    /// One copy, whatever number is declared. Used when another model would otherwise be unreachable.
    downToOne,
    /// The declared number of copies.
    downToDeclared,
};

} // namespace chervilbend::placement
