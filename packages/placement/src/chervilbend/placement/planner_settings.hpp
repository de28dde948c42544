#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::placement
{

/// Limits and thresholds of the planner. Utilisations are fractions of an endpoint's time.
struct planner_settings {
    /// A model gets another copy when the expected utilisation of the endpoints that serve it is higher.
    double scaleUpUtilisation = 0.7;
    /// A model with more copies than declared loses one when its load per copy has been lower for scaleDownDelay.
    double scaleDownUtilisation = 0.3;
    base::milliseconds scaleDownDelay{60'000};
    /// A copy is dropped only if the utilisation of the remaining ones stays below this value. It is lower than scaleUpUtilisation, so that
    /// the copy is not added again at once.
    double maxUtilisationAfterDrop = 0.6;
    /// Time constants of the smoothing of rising and falling demand. The second is longer, so that a short drop in demand causes no moves.
    base::milliseconds riseTime{5'000};
    base::milliseconds fallTime{60'000};
    /// A move is made only if its gain over this period exceeds its cost.
    base::milliseconds paybackPeriod{60'000};
    /// Work that is lost because a moved item starts with a cold prefix cache, in time per fully utilised endpoint of its load.
    base::milliseconds coldCacheCost{10'000};
    /// Maximum of loads and drops per minute that are made because of demand. The restoration of lost copies is limited only by the store.
    int movesPerMinute = 30;
    /// An assigned item that is not loaded after this time is no longer counted as a copy.
    base::milliseconds loadTimeout{120'000};
    /// Memory that was freed for an item stays reserved for it for this time.
    base::milliseconds reservationTimeout{30'000};
};

} // namespace chervilbend::placement
