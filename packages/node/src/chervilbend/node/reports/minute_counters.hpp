#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/state/entries.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::node
{

/// Named counters of one node, split into minutes of the wall clock. day_counters.hpp defines the names.
class minute_counters
{
public:
    /// Starts the first minute, whose entry gets the start marker.
    minute_counters(base::node_id node, base::incarnation incarnation);

    void add(std::string_view name, std::int64_t amount = 1);

    /// Returns and removes the entries of the minutes that have ended by the wall clock. Minutes without counts have entries, too, since
    /// the page treats a missing entry as missing counts. Call it at least once per minute.
    std::vector<state::minute_counts_entry> takeCompleted();

    /// Returns all remaining entries, the last of them with the marker of a planned stop. Counts that are added later are lost.
    std::vector<state::minute_counts_entry> takeRemaining();

private:
    void finishMinute();

    state::minute_counts_entry m_current;
    std::vector<state::minute_counts_entry> m_finished;
};

} // namespace chervilbend::node
