#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/routing/traffic_director.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace chervilbend::routing
{

/// A queue that shares the served cost fairly between accounts by deficit round robin (Shreedhar and Varghese, 1996). Requests of the same
/// account are served in FIFO order. No state is kept for accounts without queued requests.
class fair_queue
{
    struct account_queue;

public:
    struct item {
        request_handle request = 0;
        double cost = 0;
        base::time_point queuedSince;
    };

    /// The position of an item in the queue; valid until the item is removed.
    struct item_position {
        account_queue *account = nullptr;
        std::list<item>::iterator position;
    };

    fair_queue();
    ~fair_queue();

    /// Commands.

    item_position push(const base::account_id &account, const item &newItem);
    /// Queues an item ahead of the account's others without charging it again, for a request that was popped before and is retried.
    item_position pushFront(const base::account_id &account, const item &newItem);
    /// The next item; nullptr if the queue is empty.
    const item *front();
    /// Removes front() and charges its cost to its account.
    void pop();
    void remove(const item_position &itemPosition);

    /// Queries.

    /// The newest item of the account with the largest queued cost; nullptr if the queue is empty.
    const item *newestOfLargestAccount() const;
    double largestBacklog() const;
    double backlogOf(const base::account_id &account) const;
    std::size_t size() const
    {
        return m_size;
    }
    double cost() const
    {
        return m_size == 0 ? 0 : m_cost;
    }

private:
    account_queue &queueOf(const base::account_id &account);
    void adjustBacklog(account_queue &queue, double cost);

    std::unordered_map<base::account_id, std::unique_ptr<account_queue>> m_accounts;
    std::list<account_queue *> m_roundRobin;
    /// Accounts by backlog, then by serial number, which makes the order independent of addresses.
    std::set<std::pair<std::pair<double, std::uint64_t>, account_queue *>> m_byBacklog;
    std::uint64_t m_nextSerial = 0;
    double m_quantum = 1;
    double m_cost = 0;
    std::size_t m_size = 0;
    bool m_quantumGranted = false;
};

} // namespace chervilbend::routing
