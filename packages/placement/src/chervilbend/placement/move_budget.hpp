#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/placement/store_capacity.hpp>

#include <deque>
#include <optional>

namespace chervilbend::placement
{

/// Limits the loads and drops that the planner issues, by the concurrency and rate of the weight store and by a maximum of moves per minute.
class move_budget
{
public:
    explicit move_budget(int movesPerMinute);

    /// Commands.

    /// Starts a planning pass. @p modelsInTransit and @p adaptersInTransit are the numbers of items that are assigned and not yet loaded
    /// according to the replicated state.
    void startPass(const store_capacity &store, int modelsInTransit, int adaptersInTransit);
    void takeLoad();
    void takeAdapterLoad();
    /// Records a load or drop that is made because of demand.
    void takeMove();

    /// Queries.

    bool allowsLoad() const;
    bool allowsAdapterLoad() const;
    bool allowsMove() const;

private:
    int m_movesPerMinute;
    int m_freeSlots = 0;
    int m_freeAdapterSlots = 0;
    /// Tokens of a bucket that refills at the load rate of the store; each load takes one.
    double m_tokens = 1;
    std::optional<base::time_point> m_refilledAt;
    std::deque<base::time_point> m_moves;
};

} // namespace chervilbend::placement
