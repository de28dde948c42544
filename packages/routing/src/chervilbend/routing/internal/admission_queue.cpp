#include <chervilbend/routing/internal/admission_queue.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// Guaranteed share of the sent cost of each aged lane: urgent short and long, normal short and long, batch short and long. The sum
/// leaves seven tenths to the normal order.
constexpr std::array<double, 6> ageingShare{0, 0.08, 0.08, 0.06, 0.05, 0.03};

/// Share of the queue that each class keeps when requests are shed for more urgent ones. Without it, batch requests would be shed before
/// they have aged.
constexpr std::array<double, base::workClassCount> reservedShare{0.4, 0.3, 0.15};

std::size_t classIndex(base::work_class urgency)
{
    return static_cast<std::size_t>(urgency);
}

} // namespace

admission_queue::admission_queue(const director_settings &settings)
    : m_settings(settings)
{
}

std::size_t admission_queue::indexOf(lane queueLane)
{
    return classIndex(queueLane.urgency) * 2 + (queueLane.isLong ? 1 : 0);
}

admission_queue::lane admission_queue::laneAt(std::size_t index)
{
    return {static_cast<base::work_class>(index / 2), index % 2 == 1};
}

void admission_queue::setBounds(double costPerMs, base::time_point now)
{
    const double sustainedBound = costPerMs * static_cast<double>(m_settings.sustainedQueue.count());
    if (costOf(false) < sustainedBound / 2) {
        m_lastUncongested = now;
    }
    const bool isSustained = now - m_lastUncongested > m_settings.burstDuration;
    m_shortBound = isSustained ? sustainedBound : costPerMs * static_cast<double>(m_settings.shortQueue.count());
    m_longBound = isSustained ? sustainedBound : costPerMs * static_cast<double>(m_settings.longQueue.count());
}

fair_queue::item_position admission_queue::push(lane queueLane, const base::account_id &account, const fair_queue::item &entry)
{
    ++m_size;
    return m_lanes[indexOf(queueLane)].push(account, entry);
}

fair_queue::item_position admission_queue::pushFront(lane queueLane, const base::account_id &account, const fair_queue::item &entry)
{
    ++m_size;
    return m_lanes[indexOf(queueLane)].pushFront(account, entry);
}

void admission_queue::remove(lane queueLane, const fair_queue::item_position &position)
{
    --m_size;
    m_lanes[indexOf(queueLane)].remove(position);
}

std::optional<admission_queue::lane> admission_queue::choose(base::time_point now, base::work_class leastUrgent, bool longAllowed)
{
    std::optional<lane> first;
    for (std::size_t index = 0; index < laneCount; ++index) {
        const lane queueLane = laneAt(index);
        if (queueLane.isLong && !longAllowed) {
            continue;
        }
        const fair_queue::item *head = m_lanes[index].front();
        if (head == nullptr) {
            m_credit[index] = 0;
            continue;
        }
        if (m_credit[index] >= head->cost && now - head->queuedSince >= m_settings.ageingTime) {
            return queueLane;
        }
        if (!first && queueLane.urgency <= leastUrgent) {
            first = queueLane;
        }
    }
    return first;
}

const fair_queue::item *admission_queue::front(lane queueLane)
{
    return m_lanes[indexOf(queueLane)].front();
}

double admission_queue::longestWaitPerCost(base::time_point now)
{
    double longest = 0;
    for (std::size_t index = 1; index < laneCount; index += 2) {
        if (const fair_queue::item *head = m_lanes[index].front()) {
            longest = std::max(longest, static_cast<double>((now - head->queuedSince).count()) / std::max(1.0, head->cost));
        }
    }
    return longest;
}

void admission_queue::pop(lane queueLane)
{
    const std::size_t sent = indexOf(queueLane);
    const double cost = m_lanes[sent].front()->cost;
    --m_size;
    m_lanes[sent].pop();
    m_credit[sent] = std::max(0.0, m_credit[sent] - cost);
    for (std::size_t index = 0; index < laneCount; ++index) {
        if (index != sent && m_lanes[index].size() > 0) {
            // More credit than the cost of the next request would let a lane send a burst ahead of urgent requests.
            m_credit[index] = std::min(m_credit[index] + cost * ageingShare[index], m_lanes[index].front()->cost);
        }
    }
}

double admission_queue::costOf(bool isLong) const
{
    double sum = 0;
    for (std::size_t index = isLong ? 1 : 0; index < laneCount; index += 2) {
        sum += m_lanes[index].cost();
    }
    return sum;
}

std::size_t admission_queue::sizeOf(bool isLong) const
{
    std::size_t sum = 0;
    for (std::size_t index = isLong ? 1 : 0; index < laneCount; index += 2) {
        sum += m_lanes[index].size();
    }
    return sum;
}

double admission_queue::bound(bool isLong) const
{
    return isLong ? m_longBound : m_shortBound;
}

double admission_queue::cost() const
{
    return costOf(false) + costOf(true);
}

bool admission_queue::hasRoom(lane queueLane, double cost) const
{
    if (m_size >= m_settings.queueMaximum) {
        return false;
    }
    return sizeOf(queueLane.isLong) < m_settings.queueMinimum || costOf(queueLane.isLong) + cost <= bound(queueLane.isLong);
}

request_handle admission_queue::evictionCandidate(lane queueLane, const base::account_id &account, double cost) const
{
    for (std::size_t step = 0; step < base::workClassCount; ++step) {
        const std::size_t candidateClass = base::workClassCount - 1 - step;
        if (candidateClass < classIndex(queueLane.urgency)) {
            break;
        }
        const fair_queue &candidate = m_lanes[candidateClass * 2 + (queueLane.isLong ? 1 : 0)];
        if (candidate.size() == 0) {
            continue;
        }
        // Within its own class, a request displaces only one of an account with a larger backlog.
        const bool mayEvict = candidateClass > classIndex(queueLane.urgency) ? candidate.cost() > reservedShare[candidateClass] * bound(queueLane.isLong)
                                                                             : candidate.largestBacklog() > candidate.backlogOf(account) + cost;
        if (mayEvict) {
            return candidate.newestOfLargestAccount()->request;
        }
    }
    return 0;
}

bool admission_queue::isCongested() const
{
    return (sizeOf(false) >= m_settings.queueMinimum && costOf(false) > m_shortBound / 2)
        || (sizeOf(true) >= m_settings.queueMinimum && costOf(true) > m_longBound / 2);
}

} // namespace chervilbend::routing
