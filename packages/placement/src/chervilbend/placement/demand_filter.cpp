#include <chervilbend/placement/demand_filter.hpp>

#include <cmath>

namespace chervilbend::placement
{

demand_filter::demand_filter(base::milliseconds riseTime, base::milliseconds fallTime)
    : m_riseTime(riseTime)
    , m_fallTime(fallTime)
{
}

void demand_filter::update(const std::map<base::item_id, double> &reading)
{
    const base::time_point now = base::clock::now();
    // The first sample is used unsmoothed, since there is no history to average it with.
    const bool first = !m_updatedAt;
    const double elapsed = first ? 0.0 : static_cast<double>((now - *m_updatedAt).count());
    m_updatedAt = now;
    for (const auto &[item, value] : reading) {
        m_smoothed.try_emplace(item, first ? value : 0.0);
    }
    constexpr double negligible = 1e-6;
    for (auto entry = m_smoothed.begin(); entry != m_smoothed.end();) {
        const auto current = reading.find(entry->first);
        const double value = current == reading.end() ? 0.0 : current->second;
        const double timeConstant = static_cast<double>((value > entry->second ? m_riseTime : m_fallTime).count());
        entry->second += (value - entry->second) * (1.0 - std::exp(-elapsed / timeConstant));
        entry = value == 0.0 && entry->second < negligible ? m_smoothed.erase(entry) : std::next(entry);
    }
}

double demand_filter::of(const base::item_id &item) const
{
    const auto entry = m_smoothed.find(item);
    return entry == m_smoothed.end() ? 0.0 : entry->second;
}

} // namespace chervilbend::placement
