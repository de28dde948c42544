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

/// When a second copy of a slow read may be sent. Only reads that may be repeated, after the 95th percentile of their pool's
/// latency, and for at most 2% of the requests (Dean and Barroso, "The Tail at Scale", 2013).
class hedge_policy
{
public:
    /// Commands.

    /// A request was sent; it earns its part of the budget.
    void noteSent()
    {
        m_budget.earn();
    }
    /// A read of @p pool was answered after @p latency.
    void noteAnswered(const std::string &pool, base::milliseconds latency);
    /// Takes a hedge from the budget. False when none is left.
    bool take()
    {
        return m_budget.take();
    }

    /// Queries.

    /// Time after sending at which a hedge of this request may be taken; none when it must not be hedged or too little is known.
    std::optional<base::milliseconds> delayFor(const request_facts &facts) const;

private:
    std::map<std::string, quantile_estimator> m_latency;
    retry_budget m_budget{0.02, 5};
};

} // namespace chervilbend::routing
