#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace chervilbend::routing
{

/// What a quota counts.
enum class quota_unit {
    requests,
    tokens,
};

/// What an account may use over all nodes together.
struct quota_limit {
    /// Units per second.
    double rate = 0;
    /// Units that may be used at once after a time of less use.
    double burst = 0;
    quota_unit unit = quota_unit::requests;

    friend bool operator==(const quota_limit &, const quota_limit &) = default;
};

/// What a node knows of an account from the last answer of an allocator. It is what the node goes on with when it reaches no allocator, and what a new
/// allocator goes on from.
struct quota_share {
    /// Units per second that the node may spend while it is isolated.
    double rate = 0;
    /// Sum of the rates of all nodes.
    double sumOfRates = 0;
    /// Units that the allocator had left.
    double level = 0;
};

/// A node's use of one account's quota.
struct quota_usage {
    /// Units that the node holds and has not spent.
    double balance = 0;
    /// Units that it gives back.
    double returned = 0;
    /// Units that waiting requests need, and the first of them.
    double waiting = 0;
    double firstWaiting = 0;
    /// Units that the node wants to hold for requests to come; 0 where they are so rare that a grant would lie unused.
    double expected = 0;
    /// Units per second that callers ask of this node.
    double demandRate = 0;
    /// Units that were spent without a grant since the last report that was answered.
    double spentIsolated = 0;
    quota_share share;
    /// What these numbers count; no value from nodes of earlier versions.
    std::optional<quota_unit> unit{};
};

/// A node's report to the allocator. Accounts that the node does not use are missing.
struct quota_report {
    base::node_id node;
    /// Distinguishes the node's successive processes.
    std::int64_t process = 0;
    /// The lease term of the allocator that has last answered; 0 for none.
    std::int64_t term = 0;
    /// Time since the last answer of an allocator; no value if there was none.
    std::optional<base::milliseconds> answerAge;
    std::map<base::account_id, quota_usage> accounts;
    /// Number of the report and when it was taken, by the boot clock. The node alone uses them.
    std::uint64_t number = 0;
    base::time_point takenAt;
};

struct quota_grant {
    double granted = 0;
    quota_share share;
    /// When to ask again for what was not granted; 0 if all that waited was granted.
    base::milliseconds retryAfter{0};
};

/// The answer to a report.
struct quota_answer {
    /// False from a node that may not grant.
    bool isGranting = false;
    /// Distinguishes the lease terms of all allocators; not 0 if the node may grant.
    std::int64_t term = 0;
    std::map<base::account_id, quota_grant> accounts;
};

/// Grants are void after this time, by the boot clock. Longer than the longest interval between two reports.
inline constexpr base::milliseconds quotaGrantLifetime{1'500};
/// A node that gets no answer spends its share for so long after the last one.
inline constexpr base::milliseconds quotaShareLifetime{15'000};

} // namespace chervilbend::routing
