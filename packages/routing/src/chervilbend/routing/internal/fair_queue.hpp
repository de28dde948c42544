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

/// A queue that is fair between accounts by predicted cost: deficit round robin (Shreedhar and Varghese, 1996). Within an account,
/// first come, first served. An account without queued requests leaves no state behind.
class fair_queue
{
    struct account_queue;

public:
    struct item {
        request_handle request = 0;
        double cost = 0;
        base::time_point since;
    };

    /// Where an item is; valid until the item is removed.
    struct place {
        account_queue *account = nullptr;
        std::list<item>::iterator position;
    };

    fair_queue();
    ~fair_queue();

    /// Commands.

    place push(const base::account_id &account, const item &what);
    /// For a request that has been taken before and comes back.
    place pushFront(const base::account_id &account, const item &what);
    /// The item whose turn it is; nullptr when empty.
    const item *front();
    /// Removes front() and charges it to its account.
    void pop();
    void remove(const place &where);

    /// Queries.

    /// The newest request of the account with the most queued cost; nullptr when empty.
    const item *newestOfLargest() const;
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
    void charge(account_queue &queue, double cost);

    std::unordered_map<base::account_id, std::unique_ptr<account_queue>> m_accounts;
    std::list<account_queue *> m_round;
    /// Backlog and serial number; the serial number makes the order independent of addresses.
    std::set<std::pair<std::pair<double, std::uint64_t>, account_queue *>> m_byBacklog;
    std::uint64_t m_nextSerial = 0;
    double m_quantum = 1;
    double m_cost = 0;
    std::size_t m_size = 0;
    bool m_granted = false;
};

} // namespace chervilbend::routing
