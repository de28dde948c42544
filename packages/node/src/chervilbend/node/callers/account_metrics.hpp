#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/metric_registry.hpp>

#include <array>
#include <cstddef>
#include <unordered_map>

namespace chervilbend::node
{

/// What became of a request before it was queued.
enum class account_decision {
    admitted,
    /// No key, several, or one that no account has.
    invalidKey,
    configurationUnconfirmed,
    overQuota,
};

inline constexpr std::size_t accountDecisionCount = 4;

/// Counts the requests of each account. An account without a name stands for requests without a valid key.
class account_metrics
{
public:
    explicit account_metrics(base::metric_registry &registry);

    void count(const base::account_id &account, account_decision decision);

private:
    /// Looked up once for each account, since this is on the path of each request.
    using counters = std::array<base::counter *, accountDecisionCount>;

    base::metric_registry &m_registry;
    std::unordered_map<base::account_id, counters> m_accounts;
};

} // namespace chervilbend::node
