#pragma once

#include <chervilbend/base/clock.hpp>

#include <algorithm>
#include <cstdint>

namespace chervilbend::routing
{

inline constexpr double millisecondsPerSecond = 1'000;
/// Callers are not told to wait for longer, since demand and limits change.
inline constexpr base::milliseconds mostQuotaWait{5'000};

inline double secondsOf(base::milliseconds duration)
{
    return static_cast<double>(duration.count()) / millisecondsPerSecond;
}

/// The time in which @p units accrue at @p rate units per second, between @p least and mostQuotaWait.
inline base::milliseconds accrualTime(double units, double rate, base::milliseconds least)
{
    if (rate <= 0) {
        return mostQuotaWait;
    }
    const double seconds = std::clamp(units / rate, secondsOf(least), secondsOf(mostQuotaWait));
    return base::milliseconds(static_cast<std::int64_t>(seconds * millisecondsPerSecond));
}

} // namespace chervilbend::routing
