#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/rate_limit_messages.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace chervilbend::routing
{

/// Divides the request rates that endpoints allow among the nodes: each request to a limited endpoint is granted to one node.
///
/// Whole requests are granted where the demand is. Fixed shares of one node each would be far below one request where many nodes share an endpoint, and
/// would either lie unused or add up to bursts.
///
/// The holder of the command lease is the allocator of all nodes. While there is none, its last holder goes on; since a new holder may already
/// grant requests too, it then grants only a part of the rate.
class rate_limit_allocator
{
public:
    /// @p id distinguishes this process from the other nodes' allocators and from earlier ones; not 0.
    explicit rate_limit_allocator(std::int64_t id);

    /// Takes a node's report, and grants it what it wants of the rate that is free. @p isHolder tells whether this node holds the command lease.
    rate_limit_answer answer(const rate_limit_report &report, bool isHolder);

    /// Number of endpoints with a limit.
    std::size_t limitedEndpoints() const;

private:
    struct limited_endpoint {
        /// No value after the endpoint has ceased to name a limit.
        std::optional<double> requestRate;
        base::time_point statedAt;
        /// The version at which the limit changed.
        std::int64_t version = 0;
        /// Number of requests that may be granted, as of @c refilledAt.
        double available = 0;
        base::time_point refilledAt;
    };

    void merge(const rate_limit_statement &statement, base::time_point now);
    static void refill(limited_endpoint &endpoint, bool isHolder, base::time_point now);
    void grantToWaiting(const waiting_requests &waiting, std::map<endpoint_process, int> &granted);
    void grantToExpected(const endpoint_process &process, int expected, std::map<endpoint_process, int> &granted);
    void removeOld(base::time_point now);

    std::int64_t m_id;
    std::int64_t m_version = 0;
    std::map<endpoint_process, limited_endpoint> m_endpoints;
};

} // namespace chervilbend::routing
