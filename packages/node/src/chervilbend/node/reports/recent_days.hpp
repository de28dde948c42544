#pragma once

#include <chervilbend/node/reports/day_aggregator.hpp>

#include <cstdint>
#include <map>

namespace chervilbend::node
{

/// The ledgers of the last days that entries were read of.
class recent_days
{
public:
    /// Takes one entry of the day stream. Keeps the ledgers of the newest 3 days.
    void add(const state::minute_counts_entry &entry);

    /// The report of the day that holds @p time, as it is known at @p now (both wall clock). A day without any entry has one, too: it says
    /// that nothing is known.
    day_report report(base::milliseconds time, base::milliseconds now) const;

private:
    /// By days since 1970-01-01 UTC.
    std::map<std::int64_t, day_aggregator> m_ledgers;
};

} // namespace chervilbend::node
