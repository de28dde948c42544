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

/// Counts what a node sees and cuts the counts into minutes. day_counters.hpp defines the names.
class minute_counters
{
public:
    /// Starts the first minute, which gets the mark of a start.
    minute_counters(base::node_id node, base::incarnation life);

    void add(std::string_view name, std::int64_t amount = 1);

    /// The entries of the minutes that have ended, by the wall clock. A minute without counts gives an entry, too, since the page takes a
    /// missing one for a minute of which nothing is known. Call at least once a minute.
    std::vector<state::minute_counts_entry> takeCompleted();

    /// The last entry, with the mark of a planned stop. Counts that are added later are lost.
    std::vector<state::minute_counts_entry> takeRemaining();

private:
    void finishMinute();

    state::minute_counts_entry m_current;
    std::vector<state::minute_counts_entry> m_finished;
};

} // namespace chervilbend::node
