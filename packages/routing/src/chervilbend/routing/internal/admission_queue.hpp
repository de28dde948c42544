#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/work_class.hpp>
#include <chervilbend/routing/director_settings.hpp>
#include <chervilbend/routing/internal/fair_queue.hpp>

#include <array>
#include <cstddef>
#include <optional>

namespace chervilbend::routing
{

/// The waiting requests of one pool: a fair queue per class and length. More urgent classes go first and short work goes before long
/// work of its class; work that has waited for the ageing time gets a guaranteed share, so that it waits but not forever.
class admission_queue
{
public:
    /// A class and whether the work is predicted to be long.
    struct lane {
        base::work_class urgency = base::work_class::normal;
        bool isLong = false;

        friend bool operator==(const lane &, const lane &) = default;
    };

    explicit admission_queue(const director_settings &settings);

    /// Commands.

    /// Sets how much predicted cost may wait. @p costPerMs is what the pool works off in a millisecond.
    ///
    /// A burst is queued and a lasting overload is shed: a long queue that stands only delays all work by the same time, and takes long
    /// to work off when the overload ends (compare Nichols and Jacobson, "Controlling Queue Delay", 2012).
    void setBounds(double costPerMs, base::time_point now);
    fair_queue::place push(lane where, const base::account_id &account, const fair_queue::item &what);
    fair_queue::place pushFront(lane where, const base::account_id &account, const fair_queue::item &what);
    void remove(lane where, const fair_queue::place &place);
    /// Next lane to send from, for work of @p least class or a more urgent one. Lanes of long work count only with @p longAllowed.
    std::optional<lane> choose(base::time_point now, base::work_class least, bool longAllowed);
    const fair_queue::item *front(lane where);
    /// Milliseconds per unit of its cost that the next long request of any class has waited; 0 without one.
    double longWaitOverCost(base::time_point now);
    void pop(lane where);

    /// Queries.

    /// Whether a request fits beside what waits.
    bool hasRoom(lane where, double cost) const;
    /// The waiting request to give up in favour of a new one; 0 when the new one is worth least.
    request_handle leastValuable(lane where, const base::account_id &account, double cost) const;
    std::size_t size() const
    {
        return m_size;
    }
    double cost() const;
    /// Whether a class is past half of its length's bound.
    bool isCrowded() const;

private:
    static constexpr std::size_t laneCount = base::workClassCount * 2;
    static std::size_t indexOf(lane where);
    static lane laneAt(std::size_t index);
    double costOf(bool isLong) const;
    std::size_t sizeOf(bool isLong) const;
    double bound(bool isLong) const;

    const director_settings &m_settings;
    std::array<fair_queue, laneCount> m_lanes;
    /// Cost that a lane may send before its turn, earned while its head has waited for the ageing time.
    std::array<double, laneCount> m_credit{};
    std::size_t m_size = 0;
    /// When the queue of short work was last seen below half of what may wait under lasting overload.
    base::time_point m_lastCalm;
    double m_shortBound = 0;
    double m_longBound = 0;
};

} // namespace chervilbend::routing
