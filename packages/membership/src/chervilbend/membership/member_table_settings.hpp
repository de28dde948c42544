#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>

namespace chervilbend::membership
{

/// Times and limits of probing and gossip.
struct member_table_settings {
    /// Limits the size of a message for any number of changes.
    std::size_t updatesPerMessage = 8;
    /// A suspect is declared dead after this time plus suspicionPerDoubling for each doubling of the number of nodes, since the number of
    /// rounds that a refutation takes grows with the logarithm of the number of nodes.
    base::milliseconds suspicionTimeout{3'000};
    base::milliseconds suspicionPerDoubling{1'000};
    /// For this time after a direct answer, reports of others that the member is suspect or dead in the same revision are ignored.
    base::milliseconds directContactValidity{3'000};
    /// A member that was declared dead and has rejoined may hold leases only after this time, doubled for each further rejoin, up to the
    /// maximum. Keeps a flapping member from moving leases.
    base::milliseconds rejoinDelay{5'000};
    base::milliseconds maxRejoinDelay{300'000};
    /// The count of rejoins starts again after this time without one.
    base::milliseconds rejoinRetention{600'000};
    /// A dead member that is not in the host list is removed after this time.
    base::milliseconds deadRetention{600'000};
    /// One in this many probes goes to a dead member that is still in the host list, so that the end of a partition is detected.
    int probesPerDeadProbe = 10;
    /// A crash suspicion is removed after this time.
    base::milliseconds crashSuspicionRetention{3'600'000};
    std::size_t maxCrashSuspicions = 1'024;
};

} // namespace chervilbend::membership
