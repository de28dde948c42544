#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/endpoint_process.hpp>
#include <chervilbend/routing/rate_limit_messages.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace chervilbend::routing
{

/// The request rates that endpoints allow, as far as this node knows, and the requests that this node has been granted of them.
///
/// A request to an endpoint with a limit is sent only against a grant of the allocator, which divides the rate among all nodes.
class endpoint_rate_limits
{
public:
    /// Grants are void after this time. Longer than the longest interval between two reports.
    static constexpr base::milliseconds grantLifetime{1'200};

    /// Commands.

    /// An endpoint has named its limit in an answer to this node, or has named none.
    void noteAnswer(const endpoint_process &process, std::optional<double> requestRate);
    /// Expects that @p share of a request like a present one will be sent to the endpoint, if it has a limit.
    void noteExpected(const endpoint_process &process, double share);
    /// A request waits for a grant for one of these endpoints.
    void noteWaiting(std::vector<endpoint_process> endpoints);
    /// Withdraws a grant for a request that is sent, if the endpoint has a limit.
    void noteSent(const endpoint_process &process);
    void remove(const endpoint_process &process);

    /// What to report to the allocator. Grants that were not used are given back.
    rate_limit_report takeReport();
    /// Applies the answer to @p report, which was sent at @p requestedAt.
    void apply(const rate_limit_report &report, const rate_limit_answer &answer, base::time_point requestedAt);
    /// The report got no answer.
    void noteUnanswered(const rate_limit_report &report);

    /// Asks for a report as soon as possible, because a request waits for a grant.
    void requestGrants();
    /// The listener is called by requestGrants().
    void onGrantsWanted(std::function<void()> listener);
    /// The listener is called with each endpoint whose limit has changed.
    void onChange(std::function<void(const endpoint_process &, std::optional<double> requestRate)> listener);

    /// Queries.

    /// Whether a request may be sent to the endpoint now.
    bool maySend(const endpoint_process &process) const;
    bool isLimited(const endpoint_process &process) const;
    /// The endpoint's limit in requests per second over all nodes; no value if it has none.
    std::optional<double> requestRate(const endpoint_process &process) const;
    bool hasLimits() const
    {
        return !m_endpoints.empty();
    }
    std::size_t limitedEndpoints() const;
    /// Whether there is anything to report or to ask for.
    bool hasNews() const;
    /// Number of the last report that was taken.
    std::uint64_t lastReport() const
    {
        return m_lastReport;
    }
    /// Number of the last report whose answer has arrived or is not expected any more.
    std::uint64_t lastDecided() const
    {
        return m_lastDecided;
    }

private:
    struct limited_endpoint {
        /// No value after the endpoint has ceased to name a limit.
        std::optional<double> requestRate;
        base::time_point statedAt;
        /// The endpoint has said this to this node, and the allocator has not been told.
        bool isUnreported = false;
        base::time_point reportedAt;
        int granted = 0;
        base::time_point grantedUntil;
        /// Requests that are expected until the next report.
        double expected = 0;
    };

    void setRate(const endpoint_process &process, limited_endpoint &endpoint, std::optional<double> requestRate) const;

    std::map<endpoint_process, limited_endpoint> m_endpoints;
    std::vector<waiting_requests> m_waiting;
    std::int64_t m_allocator = 0;
    std::int64_t m_version = 0;
    std::uint64_t m_lastReport = 0;
    std::uint64_t m_lastDecided = 0;
    std::function<void()> m_wantedListener;
    std::function<void(const endpoint_process &, std::optional<double>)> m_changeListener;
};

} // namespace chervilbend::routing
