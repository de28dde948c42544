#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <map>
#include <optional>

namespace chervilbend::placement
{

/// Exponentially smooths the demand per item, with separate time constants for rising and falling demand.
class demand_filter
{
public:
    demand_filter(base::milliseconds riseTime, base::milliseconds fallTime);

    /// Adds a sample of all items. Items without a value in @p reading count as 0.
    void update(const std::map<base::item_id, double> &reading);

    double of(const base::item_id &item) const;

private:
    base::milliseconds m_riseTime;
    base::milliseconds m_fallTime;
    std::optional<base::time_point> m_updatedAt;
    std::map<base::item_id, double> m_smoothed;
};

} // namespace chervilbend::placement
