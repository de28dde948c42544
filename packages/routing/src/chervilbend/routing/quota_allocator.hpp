#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/quota_messages.hpp>

#include <cstdint>
#include <map>

namespace chervilbend::routing
{

/// Divides the quotas of accounts among the nodes: a token bucket for each account, from which nodes are granted what their callers ask for.
///
/// The holder of the command lease is the allocator. It names each node a share of the rate, in proportion to demand, that the node may spend while it
/// reaches no allocator. A node that has fallen silent is taken to do so, and the bucket is refilled by so much less, until the node reports what it has
/// spent. A new allocator learns from the reports what its predecessor had left, and which shares other nodes may still have.
class quota_allocator
{
public:
    /// Accounts that are missing have no limit any more. An account whose unit changes starts with a full bucket.
    void setLimits(const std::map<base::account_id, quota_limit> &limits);
    /// This node has become the allocator; its state from an earlier lease term is discarded. @p term is not 0, and no other allocator's.
    void start(std::int64_t term);
    /// Takes a node's report and grants it what it needs of what is left. @p isHolder tells whether this node still holds the lease. Accounts that the node
    /// counts in another unit, by another version of the configuration, are left out of the answer.
    quota_answer answer(const quota_report &report, bool isHolder);

private:
    /// What a node has from this allocator.
    struct node_share {
        std::int64_t process = 0;
        double demandRate = 0;
        double rate = 0;
        /// Units that the node may hold until they expire, apart from those of requests that waited for them.
        double outstanding = 0;
        base::time_point answeredAt;
    };

    struct account_bucket {
        quota_limit limit;
        double available = 0;
        base::time_point refilledAt;
        std::map<base::node_id, node_share> nodes;
        /// Shares that a predecessor has named, less those of nodes that have reported since, and the time in which they count.
        double inheritedRate = 0;
        base::time_point inheritedFrom;
        base::time_point inheritedUntil;
        bool hasInherited = false;
    };

    /// A grant for requests that wait, and for those that are expected.
    struct grant_parts {
        double waiting = 0;
        double advance = 0;
    };

    static void refill(account_bucket &bucket, base::time_point now);
    static double reservedUnits(const account_bucket &bucket, base::time_point from, base::time_point to);
    static double capacityOf(const account_bucket &bucket, base::time_point now);
    static void adopt(account_bucket &bucket, const quota_report &report, const quota_usage &usage, bool isOwnGrant, base::time_point now);
    static void settle(account_bucket &bucket, const quota_report &report, const quota_usage &usage, bool isOwnGrant, base::time_point now);
    static grant_parts divide(account_bucket &bucket, const quota_usage &usage, double demandSum, base::time_point now);
    static quota_grant answerFor(account_bucket &bucket, const quota_report &report, const quota_usage &usage, bool isOwnGrant, base::time_point now);

    std::int64_t m_term = 0;
    std::map<base::account_id, account_bucket> m_accounts;
};

} // namespace chervilbend::routing
