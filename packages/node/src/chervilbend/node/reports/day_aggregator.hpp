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

/// Adds up the minute counts of one day (UTC) and makes its report. At 370 nodes it holds about 1 KB a node and a few hundred counts,
/// whatever the number of entries.
class day_aggregator
{
public:
    /// @p day is any wall-clock time within the day.
    explicit day_aggregator(base::milliseconds day);

    /// Takes one entry. Entries of other days and repeated ones have no effect; the order has no meaning.
    void add(const state::minute_counts_entry &entry);

    /// The report as it is known at @p now (wall clock). Counts of the last minutes are not expected yet.
    day_report report(base::milliseconds now) const;

private:
    static constexpr int minutesOfDay = 1'440;

    /// Which minutes a node has reported.
    struct presence {
        /// By incarnation.
        std::map<std::int64_t, std::bitset<minutesOfDay>> lives;
        /// By any life.
        std::bitset<minutesOfDay> reported;
        std::bitset<minutesOfDay> started;
        std::bitset<minutesOfDay> stopped;
        /// Minute in which other nodes declared it dead.
        std::bitset<minutesOfDay> lost;
    };

    struct failure {
        /// Milliseconds by minute, the greatest of all nodes.
        std::map<int, std::int64_t> byMinute;
    };

    void count(const std::string &name, std::int64_t value, int minute);
    std::vector<missing_minutes> missing(int endMinute) const;
    std::bitset<minutesOfDay> missingOf(const presence &node, int endMinute) const;
    void fillAttainment(day_report &report, std::int64_t missingCount) const;
    void fillCounts(day_report &report) const;
    void fillFailures(day_report &report) const;

    base::milliseconds m_day;
    std::map<std::string, std::int64_t> m_sums;
    /// Greatest count of a node in a minute, by "SERVICE/CLASS".
    std::map<std::string, std::int64_t> m_busiest;
    std::map<std::string, failure> m_failures;
    std::map<std::string, presence> m_nodes;
    std::array<std::int64_t, day_report::steps> m_met{};
    std::array<std::int64_t, day_report::steps> m_total{};
};

} // namespace chervilbend::node
