#include <chervilbend/node/reports/recent_days.hpp>

namespace chervilbend::node
{

namespace
{
constexpr std::int64_t dayMilliseconds = 86'400'000;
constexpr std::size_t daysKept = 3;
} // namespace

void recent_days::add(const state::minute_counts_entry &entry)
{
    const std::int64_t day = entry.minute.count() / dayMilliseconds;
    m_ledgers.try_emplace(day, entry.minute).first->second.add(entry);
    if (m_ledgers.size() > daysKept) {
        m_ledgers.erase(m_ledgers.begin());
    }
}

day_report recent_days::report(base::milliseconds time, base::milliseconds now) const
{
    const auto found = m_ledgers.find(time.count() / dayMilliseconds);
    return found == m_ledgers.end() ? day_aggregator(time).report(now) : found->second.report(now);
}

} // namespace chervilbend::node
