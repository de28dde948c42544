#include <chervilbend/fleet/store_recovery.hpp>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{
/// Longest time of a retry without an answer: a connection attempt and the wait for the answer.
constexpr base::milliseconds longestCall{1'500};
} // namespace

asio::awaitable<void> store_recovery::waitForRetry(store_task task, base::milliseconds delay)
{
    const std::uint64_t successesBefore = m_successes;
    // A retry that has no result in time is replaced by one of a waiting task.
    while (m_pending && m_pending->task != task && base::clock::now() < m_pending->resultBy) {
        const base::time_point resultBy = m_pending->resultBy;
        co_await m_reached.wait(resultBy);
        if (m_successes != successesBefore) {
            co_return;
        }
    }
    const base::time_point retryAt = base::clock::now() + delay;
    m_pending = pending_retry{task, retryAt + longestCall};
    co_await m_reached.wait(retryAt);
}

void store_recovery::noteSuccess()
{
    ++m_successes;
    m_pending.reset();
    m_reached.notify();
}

} // namespace chervilbend::fleet
