#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/internal/quantile_estimator.hpp>
#include <chervilbend/routing/request_facts.hpp>
#include <chervilbend/routing/retry_budget.hpp>

#include <map>
#include <optional>
#include <string>

namespace chervilbend::routing
{

/// Decides when a slow read may be hedged, that is, sent a second time. Only repeatable reads are hedged, after the 95th percentile of
/// their pool's latency, and at most 2% of the requests (Dean and Barroso, "The Tail at Scale", 2013).
class hedge_policy
{
public:
    /// Commands.

    /// Counts a sent request, which adds to the hedge budget.
    void recordSent()
    {
        m_budget.deposit();
    }
    /// Adds the latency of an answered read of @p pool.
    void recordLatency(const std::string &pool, base::milliseconds latency);
    /// Takes one hedge from the budget. Returns false if the budget is exhausted.
    bool tryTakeHedge()
    {
        return m_budget.tryWithdraw();
    }

    /// Queries.

    /// Time after sending at which this request may be hedged. No value if it must not be hedged or there are too few latency samples.
    std::optional<base::milliseconds> delayFor(const request_facts &facts) const;

private:
    std::map<std::string, quantile_estimator> m_latency;
    retry_budget m_budget{0.02, 5};
};

} // namespace chervilbend::routing
