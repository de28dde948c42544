#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/node/reports/day_report.hpp>
#include <chervilbend/state/entries.hpp>

#include <array>
#include <bitset>
#include <cstdint>
#include <map>
#include <string>

namespace chervilbend::node
{

/// Aggregates the minute counts of one day (UTC) into a report. With 370 nodes it holds about 1 KB per node and a few hundred counts,
/// regardless of the number of entries.
class day_aggregator
{
public:
    /// @p day is any wall-clock time within the day.
    explicit day_aggregator(base::milliseconds day);

    /// Adds one entry. Entries of other days and duplicates are ignored; the order of the calls does not matter.
    void add(const state::minute_counts_entry &entry);

    /// The report as known at @p now (wall clock). Counts of the last 2 minutes are not expected yet.
    day_report report(base::milliseconds now) const;

private:
    static constexpr int minutesPerDay = 1'440;

    /// Which minutes a node has reported.
    struct node_minutes {
        /// By incarnation.
        std::map<std::int64_t, std::bitset<minutesPerDay>> byIncarnation;
        /// By any incarnation.
        std::bitset<minutesPerDay> reported;
        std::bitset<minutesPerDay> started;
        std::bitset<minutesPerDay> stopped;
        /// Minutes in which other nodes declared it dead.
        std::bitset<minutesPerDay> lost;
    };

    struct failure_durations {
        /// Maximum over all nodes, in milliseconds, by minute of the day.
        std::map<int, std::int64_t> byMinute;
    };

    void addCount(const std::string &name, std::int64_t value, int minute);
    std::vector<missing_minutes> missing(int endMinute) const;
    std::bitset<minutesPerDay> missingOf(const node_minutes &node, int endMinute) const;
    void fillAttainment(day_report &report, std::int64_t missingCount) const;
    void fillCounts(day_report &report) const;
    void fillFailures(day_report &report) const;

    base::milliseconds m_day;
    std::map<std::string, std::int64_t> m_sums;
    /// Highest number of requests of one node in one minute, by "SERVICE/CLASS".
    std::map<std::string, std::int64_t> m_peakRequests;
    std::map<std::string, failure_durations> m_failures;
    std::map<std::string, node_minutes> m_nodes;
    std::array<std::int64_t, day_report::steps> m_metBySteps{};
    std::array<std::int64_t, day_report::steps> m_totalBySteps{};
};

} // namespace chervilbend::node
