#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/routing/quota_messages.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace chervilbend::routing
{

enum class quota_decision {
    /// The allocator has been asked.
    waiting,
    admitted,
    refused,
};

/// A request that is charged to its account's quota.
struct quota_request {
    base::account_id account;
    double cost = 0;
    /// What the cost counts.
    quota_unit unit = quota_unit::requests;
    quota_decision decision = quota_decision::waiting;
    /// Set when refused: after which time it would pass.
    base::milliseconds retryAfter{0};
    /// The last report before the request.
    std::uint64_t reportBefore = 0;
};

/// The quotas of accounts as far as this node is concerned: what the allocator has granted it, and what it may spend while it reaches none.
///
/// A node that reaches no allocator is isolated. It spends its share of the rate, which came with the last answer, for quotaShareLifetime, and a residual
/// rate after that. For an account of which it never had an answer, it may spend a part of the burst, which nobody has used yet, and half of an equal share.
class account_quotas
{
public:
    /// Commands.

    /// Accounts that are missing have no limit any more. An account whose unit changes starts anew. In both cases the requests that wait are admitted.
    void setLimits(const std::map<base::account_id, quota_limit> &limits);
    /// @p overshoot is the part by which all nodes together may exceed a limit.
    void setOvershoot(double overshoot);
    void setNodeCount(int nodes);
    void setIdentity(base::node_id node, std::int64_t process);

    /// Charges a request. If it has to wait, its decision changes with apply(), noteUnanswered() or abandon().
    std::shared_ptr<quota_request> charge(const base::account_id &account, double cost);
    /// Refuses a request that has waited long enough.
    void abandon(quota_request &request);
    /// Gives back what an admitted request was charged, because it has not run.
    void refund(const quota_request &request);

    quota_report takeReport();
    /// Applies the answer to @p report.
    void apply(const quota_report &report, const quota_answer &answer);
    /// No allocator has answered, or one that may not grant has: the node is isolated, and requests that wait are admitted from its share or refused.
    void noteUnanswered();

    /// The listener is called when a request waits for a grant.
    void onGrantsWanted(std::function<void()> listener);
    /// The listener is called when requests that waited have been decided.
    void onDecision(std::function<void()> listener);
    /// The listener is called when the node becomes isolated, and when it reaches an allocator again.
    void onIsolation(std::function<void(bool isIsolated)> listener);

    /// Queries.

    bool isIsolated() const
    {
        return m_isIsolated;
    }
    /// Units that the node holds for the account.
    double balance(const base::account_id &account) const;
    /// Time since the last answer of an allocator.
    base::milliseconds answerAge() const;
    bool hasUsageToReport() const;

private:
    struct account_state {
        quota_limit limit;
        double balance = 0;
        /// By the boot clock, as all times here.
        base::time_point grantedUntil;
        /// Until then requests beyond the balance are refused without asking.
        base::time_point askAgainAt;
        double demand = 0;
        double demandRate = 0;
        double meanCost = 0;
        base::time_point usedAt;
        quota_share share;
        /// The rate that the share is a part of.
        double sharedRate = 0;
        double isolatedBalance = 0;
        double spentIsolated = 0;
        base::time_point isolatedAt;
        /// The allocator has a configuration without the account.
        bool isUnknownToAllocator = false;
        std::deque<std::shared_ptr<quota_request>> waiting;
    };

    static void admitWaiting(account_state &state);
    void expire(account_state &state, base::time_point now) const;
    bool spend(account_state &state, double cost, base::time_point now);
    bool spendIsolated(account_state &state, double cost, base::time_point now) const;
    bool isIsolated(const account_state &state) const;
    /// Whether the shares of the last answer are still valid, or there was no answer.
    bool mayUseShares(base::time_point now) const;
    /// Whether the last answer named no share of the account, or there was none.
    bool isFresh(const account_state &state) const;
    double isolatedRate(const account_state &state, base::time_point now) const;
    double isolatedCapacity(const account_state &state, base::time_point now) const;
    void startIsolation(account_state &state, base::time_point now) const;
    void setIsolated(bool isIsolated);
    void setUnknown(account_state &state, bool isUnknown, base::time_point now) const;
    static void refuse(quota_request &request, base::milliseconds retryAfter);
    /// Decides the requests that wait, as far as they are covered; those of @p decidedReport and before are refused otherwise.
    void decideWaiting(account_state &state, std::uint64_t decidedReport, base::milliseconds retryAfter, base::time_point now);
    /// Units to hold whatever this node's demand is, while the account's bucket is well filled.
    double reserveFor(const account_state &state) const;
    quota_usage usageOf(account_state &state, base::time_point now, double elapsedSeconds) const;

    std::map<base::account_id, account_state> m_accounts;
    base::node_id m_node;
    std::int64_t m_process = 0;
    double m_overshoot = 0;
    int m_nodes = 1;
    std::int64_t m_term = 0;
    std::uint64_t m_lastReport = 0;
    base::time_point m_reportedAt;
    /// When the last report that was answered was taken.
    std::optional<base::time_point> m_answeredAt;
    bool m_isIsolated = false;
    std::function<void()> m_wantedListener;
    std::function<void()> m_decisionListener;
    std::function<void(bool)> m_isolationListener;
};

} // namespace chervilbend::routing
