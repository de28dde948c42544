#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/endpoint_process.hpp>
#include <chervilbend/routing/quota_messages.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chervilbend::routing
{

/// Upper bound of the rates, in requests per second, and of the numbers of requests in these messages. Far above what an endpoint can do, so that a higher
/// limit is none; a message that exceeds it is not valid.
inline constexpr double maxRequestRate = 1e6;

/// The request rate that an endpoint has named in an answer to some node.
struct rate_limit_statement {
    endpoint_process process;
    /// Requests per second from all nodes together; no value if the answer named no limit any more.
    std::optional<double> requestRate;
    /// Time since the answer arrived.
    base::milliseconds age{0};
};

/// Requests that wait at a node for a grant.
struct waiting_requests {
    /// A grant for any of these would do.
    std::vector<endpoint_process> endpoints;
    int count = 1;
};

/// A node's report to the node that grants requests to endpoints with a rate limit.
struct rate_limit_report {
    /// Counts the node's reports. The node alone uses it.
    std::uint64_t number = 0;
    /// What endpoints have named in answers to this node since its last report.
    std::vector<rate_limit_statement> statements;
    std::vector<waiting_requests> waiting;
    /// Number of further requests, by endpoint, that the node expects to send until its next report.
    std::map<endpoint_process, int> expected;
    /// Grants that the node has not used and gives back.
    std::map<endpoint_process, int> unused;
    /// The last allocator that answered this node, and the version of the statements that it sent; 0 for none.
    std::int64_t allocator = 0;
    std::int64_t version = 0;
    /// The node's use of the accounts' quotas.
    quota_report quotas;
};

/// The answer to a report.
struct rate_limit_answer {
    /// Distinguishes the processes of the nodes that may answer; never 0.
    std::int64_t allocator = 0;
    std::int64_t version = 0;
    /// Statements that have changed since the version that the node had.
    std::vector<rate_limit_statement> statements;
    /// Number of requests that the node may send to the endpoint until its next report.
    std::map<endpoint_process, int> granted;
    quota_answer quotas;
};

} // namespace chervilbend::routing
