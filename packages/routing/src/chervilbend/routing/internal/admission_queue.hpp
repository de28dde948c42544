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

/// The waiting requests of one pool: one fair queue, called a lane, for each combination of class and length. More urgent classes are
/// sent first, and short requests before long ones of the same class. A lane whose head has waited for the ageing time gets a guaranteed
/// share, which prevents starvation.
class admission_queue
{
public:
    /// Identifies a queue by the class of its requests and whether they are predicted to be long.
    struct lane {
        base::work_class urgency = base::work_class::normal;
        bool isLong = false;

        friend bool operator==(const lane &, const lane &) = default;
    };

    explicit admission_queue(const director_settings &settings);

    /// Commands.

    /// Sets the bounds on the predicted cost that may wait. @p costPerMs is the cost that the pool processes per millisecond.
    ///
    /// A burst is queued, but sustained overload is shed: a standing queue only delays all requests by the same time and takes long to
    /// drain after the overload (compare Nichols and Jacobson, "Controlling Queue Delay", 2012).
    void setBounds(double costPerMs, base::time_point now);
    fair_queue::item_position push(lane queueLane, const base::account_id &account, const fair_queue::item &entry);
    fair_queue::item_position pushFront(lane queueLane, const base::account_id &account, const fair_queue::item &entry);
    void remove(lane queueLane, const fair_queue::item_position &position);
    /// The next lane to send from. In the normal order, only classes at least as urgent as @p leastUrgent are considered; lanes that are due
    /// for their guaranteed share come first. Lanes of long requests are considered only with @p longAllowed.
    std::optional<lane> choose(base::time_point now, base::work_class leastUrgent, bool longAllowed);
    const fair_queue::item *front(lane queueLane);
    /// The longest wait of the next long request of any class, in milliseconds per unit of its cost; 0 if none waits.
    double longestWaitPerCost(base::time_point now);
    void pop(lane queueLane);

    /// Queries.

    /// Whether a request of the given cost can be queued within the bounds.
    bool hasRoom(lane queueLane, double cost) const;
    /// The waiting request to shed in favour of a new one; 0 if the new one has the lowest priority itself.
    request_handle evictionCandidate(lane queueLane, const base::account_id &account, double cost) const;
    std::size_t size() const
    {
        return m_size;
    }
    double cost() const;
    /// Whether the queue of short or of long requests is above half of its bound.
    bool isCongested() const;

private:
    static constexpr std::size_t laneCount = base::workClassCount * 2;
    static std::size_t indexOf(lane queueLane);
    static lane laneAt(std::size_t index);
    double costOf(bool isLong) const;
    std::size_t sizeOf(bool isLong) const;
    double bound(bool isLong) const;

    const director_settings &m_settings;
    std::array<fair_queue, laneCount> m_lanes;
    /// Cost that each lane may send ahead of the normal order. It accumulates while other lanes send and is used once the lane's head has
    /// waited for the ageing time.
    std::array<double, laneCount> m_credit{};
    std::size_t m_size = 0;
    /// Last time at which the queue of short requests was below half of its bound under sustained overload.
    base::time_point m_lastUncongested;
    double m_shortBound = 0;
    double m_longBound = 0;
};

} // namespace chervilbend::routing
