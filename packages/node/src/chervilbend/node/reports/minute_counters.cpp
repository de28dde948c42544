#include <chervilbend/node/reports/minute_counters.hpp>

#include <chervilbend/node/reports/day_counters.hpp>

#include <utility>

namespace chervilbend::node
{

namespace
{

constexpr base::milliseconds minuteLength{60'000};
/// Longest gap that is filled with empty minutes. In a longer gap, the node may have been suspended or its clock may have been wrong, so
/// the minutes in between are omitted and count as missing.
constexpr base::milliseconds maxGap{600'000};

base::milliseconds currentMinute()
{
    return base::clock::wallNow() / minuteLength * minuteLength;
}

} // namespace

minute_counters::minute_counters(base::node_id node, base::incarnation incarnation)
    : m_current{std::move(node), incarnation, currentMinute(), {{std::string(startedCounter), 1}}}
{
}

void minute_counters::add(std::string_view name, std::int64_t amount)
{
    m_current.counts[std::string(name)] += amount;
}

std::vector<state::minute_counts_entry> minute_counters::takeCompleted()
{
    const base::milliseconds now = currentMinute();
    if (now - m_current.minute > maxGap) {
        finishMinute();
        m_current.minute = now;
    }
    // After the clock was set back, the current minute continues until the clock has passed it again.
    while (m_current.minute < now) {
        finishMinute();
    }
    return std::exchange(m_finished, {});
}

std::vector<state::minute_counts_entry> minute_counters::takeRemaining()
{
    std::vector<state::minute_counts_entry> entries = takeCompleted();
    add(stoppedCounter);
    entries.push_back(m_current);
    return entries;
}

void minute_counters::finishMinute()
{
    m_finished.push_back(m_current);
    m_current.minute += minuteLength;
    m_current.counts.clear();
}

} // namespace chervilbend::node
