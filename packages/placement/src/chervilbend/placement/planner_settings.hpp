#pragma once

#include <chervilbend/base/clock.hpp>

namespace chervilbend::placement
{

/// Bounds and thresholds of the planner. Utilisations are shares of an endpoint's time.
struct planner_settings {
    /// A model whose work would meet a higher utilisation gets another copy.
    double scaleUpUtilisation = 0.7;
    /// A model that uses less of each of its copies for scaleDownDelay has a copy too many.
    double scaleDownUtilisation = 0.3;
    base::milliseconds scaleDownDelay{60'000};
    /// A copy is dropped only while the others stay below this; the gap to scaleUpUtilisation keeps the copy from coming back at once.
    double maxUtilisationAfterDrop = 0.6;
    /// Demand is followed upwards with the first and downwards with the second time constant, so that a short lull costs no move.
    base::milliseconds riseTime{5'000};
    base::milliseconds fallTime{60'000};
    /// A move pays off when its gain over this time exceeds its cost.
    base::milliseconds paybackPeriod{60'000};
    /// Work lost on a moved item's cold prefix cache, per endpoint's worth of its demand.
    base::milliseconds coldCacheCost{10'000};
    /// Loads and drops per minute that follow demand; restoring lost copies is bounded by the store only.
    int movesPerMinute = 30;
    /// An item that is not loaded after this time no longer counts as a copy.
    base::milliseconds loadTimeout{120'000};
    /// Room that was made for an item is kept for it for this time.
    base::milliseconds reservationTimeout{30'000};
};

} // namespace chervilbend::placement
