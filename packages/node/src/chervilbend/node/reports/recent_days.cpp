#include <chervilbend/node/reports/recent_days.hpp>

namespace chervilbend::node
{

namespace
{
constexpr std::int64_t dayMilliseconds = 86'400'000;
constexpr std::size_t maxDays = 3;
} // namespace

void recent_days::add(const state::minute_counts_entry &entry)
{
    const std::int64_t day = entry.minute.count() / dayMilliseconds;
    m_aggregators.try_emplace(day, entry.minute).first->second.add(entry);
    if (m_aggregators.size() > maxDays) {
        m_aggregators.erase(m_aggregators.begin());
    }
}

day_report recent_days::report(base::milliseconds time, base::milliseconds now) const
{
    const auto found = m_aggregators.find(time.count() / dayMilliseconds);
    return found == m_aggregators.end() ? day_aggregator(time).report(now) : found->second.report(now);
}

} // namespace chervilbend::node
