#include <chervilbend/placement/move_budget.hpp>

#include <algorithm>

namespace chervilbend::placement
{

move_budget::move_budget(int movesPerMinute)
    : m_movesPerMinute(movesPerMinute)
{
}

void move_budget::startPass(const store_capacity &store, int modelsInTransit, int adaptersInTransit)
{
    const base::time_point now = base::clock::now();
    m_freeSlots = store.slots - std::max(store.inTransit, modelsInTransit);
    m_freeAdapterSlots = store.adapterSlots - adaptersInTransit;
    if (m_refilledAt) {
        m_tokens += store.loadsPerSecond * static_cast<double>((now - *m_refilledAt).count()) / 1'000.0;
    }
    // The bucket holds the loads of one second, since there is about one pass per second.
    m_tokens = std::min(m_tokens, std::max(1.0, store.loadsPerSecond));
    m_refilledAt = now;
    while (!m_moves.empty() && now - m_moves.front() >= std::chrono::minutes(1)) {
        m_moves.pop_front();
    }
}

void move_budget::takeLoad()
{
    --m_freeSlots;
    m_tokens -= 1;
}

void move_budget::takeAdapterLoad()
{
    --m_freeAdapterSlots;
}

void move_budget::takeMove()
{
    m_moves.push_back(base::clock::now());
}

bool move_budget::allowsLoad() const
{
    return m_freeSlots > 0 && m_tokens >= 1;
}

bool move_budget::allowsAdapterLoad() const
{
    return m_freeAdapterSlots > 0;
}

bool move_budget::allowsMove() const
{
    return static_cast<int>(m_moves.size()) < m_movesPerMinute;
}

} // namespace chervilbend::placement
