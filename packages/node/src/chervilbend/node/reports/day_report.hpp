#pragma once

#include <chervilbend/base/clock.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::node
{

/// Whether a day went well.
enum class day_verdict {
    well,
    notWell,
    /// Too many counts are missing for a verdict.
    notKnown,
};

/// Deadline attainment of one service and class of work.
struct attainment_row {
    std::string service;
    std::string urgency;
    /// Requests by result.
    std::int64_t met = 0;
    std::int64_t late = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    std::int64_t cancelled = 0;
    /// Share of requests that were answered within their deadline, and the minimum share for the verdict "well"; both 0 to 1.
    double attainment = 1;
    double goal = 0;
    /// Bounds of the attainment if each missing minute of a node had as many of these requests as the busiest reported minute of any node.
    double lowerBound = 1;
    double upperBound = 1;

    std::int64_t total() const
    {
        return met + late + refused + failed;
    }
};

/// Minutes of a node whose counts are missing.
struct missing_minutes {
    std::string node;
    /// Minutes of the day, 0 to 1,439, both included.
    int first = 0;
    int last = 0;
};

/// A component that was not working for some time.
struct failure_row {
    std::string component;
    base::milliseconds duration{0};
    /// First and last minute of the day in which the failure was observed.
    int first = 0;
    int last = 0;
};

/// Orders of one service by run state.
struct order_row {
    std::int64_t ran = 0;
    std::int64_t notRun = 0;
    std::int64_t unknown = 0;
};

/// Content of one daily page.
struct day_report {
    /// Number of 10-minute steps of a day, for the chart.
    static constexpr std::size_t steps = 144;

    /// Wall-clock start of the day (UTC).
    base::milliseconds day{0};
    /// End of the reported part of the day, in minutes of the day, 0 to 1,440.
    int endMinute = 1'440;
    day_verdict verdict = day_verdict::notKnown;
    /// The first line of the page: the verdict and the reasons for it.
    std::string firstLine;
    int nodes = 0;
    std::vector<attainment_row> attainment;
    /// Requests by service and kind of error, "SERVICE/KIND".
    std::map<std::string, std::int64_t> refusals;
    std::map<std::string, order_row> orders;
    std::int64_t loads = 0;
    std::int64_t unloads = 0;
    std::int64_t loadedBytes = 0;
    base::milliseconds loadTime{0};
    /// Publishes by service and result, "SERVICE/accepted" or "SERVICE/rejected".
    std::map<std::string, std::int64_t> publishes;
    std::vector<failure_row> failures;
    std::vector<missing_minutes> missing;
    /// Requests within their deadline and all requests, by step.
    std::array<std::int64_t, steps> metBySteps{};
    std::array<std::int64_t, steps> totalBySteps{};
    /// Whether counts of a node are missing in the step.
    std::array<bool, steps> isStepIncomplete{};
};

/// The start of the day "YYYY-MM-DD" (UTC), from 1970 on; no value when the text is not a date.
std::optional<base::milliseconds> parseDate(const std::string &text);

/// "YYYY-MM-DD".
std::string dateText(base::milliseconds day);

/// "HH:MM" of a minute of the day.
std::string minuteText(int minute);

} // namespace chervilbend::node
