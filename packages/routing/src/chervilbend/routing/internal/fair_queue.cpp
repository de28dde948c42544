#include <chervilbend/routing/internal/fair_queue.hpp>

#include <algorithm>

namespace chervilbend::routing
{

struct fair_queue::account_queue {
    base::account_id account;
    std::uint64_t serial = 0;
    std::list<item> items;
    std::list<account_queue *>::iterator roundPosition;
    double backlog = 0;
    double deficit = 0;
};

fair_queue::fair_queue() = default;
fair_queue::~fair_queue() = default;

fair_queue::account_queue &fair_queue::queueOf(const base::account_id &account)
{
    auto &slot = m_accounts[account];
    if (!slot) {
        slot = std::make_unique<account_queue>();
        slot->account = account;
        slot->serial = m_nextSerial++;
        slot->roundPosition = m_roundRobin.insert(m_roundRobin.end(), slot.get());
        m_byBacklog.insert({{0, slot->serial}, slot.get()});
    }
    return *slot;
}

void fair_queue::adjustBacklog(account_queue &queue, double cost)
{
    m_byBacklog.erase({{queue.backlog, queue.serial}, &queue});
    queue.backlog += cost;
    m_cost += cost;
    if (queue.items.empty()) {
        if (m_roundRobin.front() == &queue) {
            m_quantumGranted = false;
        }
        m_roundRobin.erase(queue.roundPosition);
        m_accounts.erase(base::account_id(queue.account));
        return;
    }
    m_byBacklog.insert({{queue.backlog, queue.serial}, &queue});
}

fair_queue::item_position fair_queue::push(const base::account_id &account, const item &newItem)
{
    account_queue &queue = queueOf(account);
    // With a quantum of the largest recent cost, every account can send in each round, so that front() takes constant time.
    m_quantum = std::max(m_quantum * 0.999, newItem.cost);
    const item_position itemPosition{&queue, queue.items.insert(queue.items.end(), newItem)};
    ++m_size;
    adjustBacklog(queue, newItem.cost);
    return itemPosition;
}

fair_queue::item_position fair_queue::pushFront(const base::account_id &account, const item &newItem)
{
    account_queue &queue = queueOf(account);
    const item_position itemPosition{&queue, queue.items.insert(queue.items.begin(), newItem)};
    // The item was charged when it was popped for the first time.
    queue.deficit += newItem.cost;
    ++m_size;
    adjustBacklog(queue, newItem.cost);
    return itemPosition;
}

const fair_queue::item *fair_queue::front()
{
    while (!m_roundRobin.empty()) {
        account_queue &queue = *m_roundRobin.front();
        if (!m_quantumGranted) {
            queue.deficit += m_quantum;
            m_quantumGranted = true;
        }
        if (queue.deficit >= queue.items.front().cost) {
            return &queue.items.front();
        }
        m_roundRobin.splice(m_roundRobin.end(), m_roundRobin, m_roundRobin.begin());
        m_quantumGranted = false;
    }
    return nullptr;
}

void fair_queue::pop()
{
    account_queue &queue = *m_roundRobin.front();
    queue.deficit -= queue.items.front().cost;
    remove({&queue, queue.items.begin()});
}

void fair_queue::remove(const item_position &itemPosition)
{
    const double cost = itemPosition.position->cost;
    itemPosition.account->items.erase(itemPosition.position);
    --m_size;
    adjustBacklog(*itemPosition.account, -cost);
}

const fair_queue::item *fair_queue::newestOfLargestAccount() const
{
    return m_byBacklog.empty() ? nullptr : &m_byBacklog.rbegin()->second->items.back();
}

double fair_queue::largestBacklog() const
{
    return m_byBacklog.empty() ? 0 : m_byBacklog.rbegin()->first.first;
}

double fair_queue::backlogOf(const base::account_id &account) const
{
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? 0 : found->second->backlog;
}

} // namespace chervilbend::routing
