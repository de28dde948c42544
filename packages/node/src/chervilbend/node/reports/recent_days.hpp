#pragma once

#include <chervilbend/node/reports/day_aggregator.hpp>

#include <cstdint>
#include <map>

namespace chervilbend::node
{

/// Aggregated counts of the most recent days for which entries were read.
class recent_days
{
public:
    /// Adds one entry of the day stream. Only the newest 3 days are kept.
    void add(const state::minute_counts_entry &entry);

    /// The report of the day that contains @p time, as known at @p now (both wall clock). A day without entries has a report, too, with the
    /// verdict notKnown.
    day_report report(base::milliseconds time, base::milliseconds now) const;

private:
    /// By days since 1970-01-01 UTC.
    std::map<std::int64_t, day_aggregator> m_aggregators;
};

} // namespace chervilbend::node
