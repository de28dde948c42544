#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/placement/store_capacity.hpp>

#include <deque>
#include <optional>

namespace chervilbend::placement
{

/// How many loads may be assigned now: by the store's slots and rate, and by the bound on moves per minute.
class move_budget
{
public:
    explicit move_budget(int movesPerMinute);

    /// Commands.

    /// Starts a pass. @p modelsInTransit and @p adaptersInTransit are what the fold shows as assigned and not loaded.
    void startPass(const store_capacity &store, int modelsInTransit, int adaptersInTransit);
    void takeLoad();
    void takeAdapterLoad();
    /// Counts a load or drop that follows demand.
    void takeMove();

    /// Queries.

    bool allowsLoad() const;
    bool allowsAdapterLoad() const;
    bool allowsMove() const;

private:
    int m_movesPerMinute;
    int m_freeSlots = 0;
    int m_freeAdapterSlots = 0;
    /// Token bucket of the store's rate, in loads.
    double m_tokens = 1;
    std::optional<base::time_point> m_filledAt;
    std::deque<base::time_point> m_moves;
};

} // namespace chervilbend::placement
