#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/net/change_signal.hpp>
#include <chervilbend/routing/quota_allocator.hpp>
#include <chervilbend/routing/rate_limit_allocator.hpp>
#include <chervilbend/routing/rate_limit_messages.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>

namespace chervilbend::peers
{
class rpc_caller;
}

namespace chervilbend::routing
{
class account_quotas;
class endpoint_rate_limits;
} // namespace chervilbend::routing

namespace chervilbend::fleet
{

class command_lease;

/// A node's part in dividing the request rates that endpoints allow, and the quotas of accounts: it asks the allocator for grants, and is the allocator
/// itself while it holds the command lease, or, for the rates of endpoints, while the others know of no later holder.
///
/// Reports travel with the periodic exchange of holder_client. A request that waits for a grant is asked for at once, and while no node holds the lease
/// its last holder is asked.
class rate_limit_exchange
{
public:
    /// References must outlive the object. @p incarnation distinguishes successive processes of @p node.
    rate_limit_exchange(base::node_id node,
                        std::int64_t incarnation,
                        const command_lease &lease,
                        peers::rpc_caller &peers,
                        routing::endpoint_rate_limits &limits,
                        routing::account_quotas &quotas);

    /// Commands.

    /// Asks for grants outside of the periodic exchange. Does not return.
    boost::asio::awaitable<void> run();
    /// The listener is called when the allocator has answered, or has failed to.
    void onDecision(std::function<void()> listener);

    /// The accounts' limits, for this node and for the time in which it is the allocator.
    void setQuotaLimits(const std::map<base::account_id, routing::quota_limit> &limits);

    void leaseChanged(bool isHolder);

    /// The part of the periodic exchange.
    routing::rate_limit_report takeReport();
    void apply(const routing::rate_limit_report &report, const routing::rate_limit_answer &answer, base::time_point requestedAt);
    void noteUnanswered(const routing::rate_limit_report &report);
    /// Exchanges a report with this node's own allocator.
    void exchangeLocally();

    /// Answers a report as the allocator.
    routing::rate_limit_answer answer(const routing::rate_limit_report &report);

private:
    boost::asio::awaitable<void> exchange();
    void notify() const;

    base::node_id m_node;
    const command_lease &m_lease;
    peers::rpc_caller &m_peers;
    routing::endpoint_rate_limits &m_limits;
    routing::account_quotas &m_quotas;
    routing::rate_limit_allocator m_allocator;
    routing::quota_allocator m_quotaAllocator;
    std::map<base::account_id, routing::quota_limit> m_quotaLimits;
    net::change_signal m_grantsWanted;
    bool m_isUrgent = false;
    std::function<void()> m_listener;
};

} // namespace chervilbend::fleet
