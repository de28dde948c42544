#include <chervilbend/fleet/store_recovery.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fleet
{

namespace
{

/// Longest time of a retry without an answer: a connection attempt and the wait for the answer.
constexpr base::milliseconds longestCall{1'500};

/// Part of its delay that a task waits after its turn has come, when it has already waited for the others: in turns, three tasks then retry within
/// two seconds, the shortest time in which a change must be known.
constexpr int turnNumerator = 2;
constexpr int turnDenominator = 3;

/// Keeps a ticket in a set for its lifetime.
class queued_ticket
{
public:
    queued_ticket(std::shared_ptr<std::set<std::uint64_t>> queue, std::uint64_t ticket)
        : m_queue(std::move(queue))
        , m_ticket(ticket)
    {
        m_queue->insert(m_ticket);
    }
    ~queued_ticket()
    {
        m_queue->erase(m_ticket);
    }
    queued_ticket(const queued_ticket &) = delete;
    queued_ticket &operator=(const queued_ticket &) = delete;

private:
    std::shared_ptr<std::set<std::uint64_t>> m_queue;
    std::uint64_t m_ticket;
};

} // namespace

asio::awaitable<void> store_recovery::waitForRetry(store_task task, base::milliseconds delay)
{
    const std::uint64_t successesBefore = m_successes;
    const base::time_point failedAt = base::clock::now();
    if (m_pending && m_pending->task == task) {
        m_pending.reset();
        m_changed.notify();
    }
    {
        const ticket own = ++m_lastTicket;
        const queued_ticket queued(m_waiting, own);
        while (m_successes == successesBefore && !isTurnOf(own)) {
            co_await m_changed.wait(m_pending ? m_pending->resultBy : base::clock::now() + longestCall);
        }
    }
    const base::time_point retryAt = std::max(failedAt + delay, base::clock::now() + delay * turnNumerator / turnDenominator);
    if (m_successes == successesBefore) {
        m_pending = pending_retry{task, retryAt + longestCall};
    }
    while (m_successes == successesBefore && base::clock::now() < retryAt) {
        co_await m_changed.wait(retryAt);
    }
}

bool store_recovery::isTurnOf(ticket waiting) const
{
    const bool isRetrying = m_pending && base::clock::now() < m_pending->resultBy;
    return !isRetrying && *m_waiting->begin() == waiting;
}

void store_recovery::noteSuccess()
{
    ++m_successes;
    m_pending.reset();
    m_changed.notify();
}

} // namespace chervilbend::fleet
