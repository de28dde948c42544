#pragma once

#include <chervilbend/node/reports/day_ledger.hpp>

#include <cstdint>
#include <map>

namespace chervilbend::node
{

/// The ledgers of the last days that entries were read of.
class recent_days
{
public:
    /// Takes one entry of the day stream. Keeps the ledgers of the newest 3 days.
    void add(const state::day_entry &entry);

    /// The ledger of the day that holds @p time (wall clock); nullptr when no entry of it was read.
    const day_ledger *find(base::milliseconds time) const;

private:
    /// By days since 1970-01-01 UTC.
    std::map<std::int64_t, day_ledger> m_ledgers;
};

} // namespace chervilbend::node
