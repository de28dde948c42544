#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>

namespace chervilbend::membership
{

/// Times and bounds of probing and gossip.
struct member_table_settings {
    /// Bounds the size of a message whatever the number of changes.
    std::size_t updatesPerMessage = 8;
    /// A suspect is declared dead after this time plus suspicionPerDoubling for each doubling of the number of nodes: a refutation
    /// needs a number of rounds that grows with the logarithm.
    base::milliseconds suspicionTimeout{3'000};
    base::milliseconds suspicionPerDoubling{1'000};
    /// A direct answer outweighs what others say of the same word of the member for this time.
    base::milliseconds evidenceLife{3'000};
    /// A member that was declared dead and came back holds leases only after this time, doubled for each further return, up to
    /// the maximum. Keeps a flapping member from moving leases.
    base::milliseconds returnDelay{5'000};
    base::milliseconds maxReturnDelay{300'000};
    /// Returns are forgotten after this time without a new one.
    base::milliseconds returnMemory{600'000};
    /// A dead member that the host list does not show is forgotten after this time.
    base::milliseconds deadMemory{600'000};
    /// One probe in so many goes to a dead member that the host list still shows, so that a healed partition is noticed.
    int probesPerDeadProbe = 10;
    /// A crash suspicion is forgotten after this time.
    base::milliseconds suspicionMemory{3'600'000};
    std::size_t maxSuspicions = 1'024;
};

} // namespace chervilbend::membership
