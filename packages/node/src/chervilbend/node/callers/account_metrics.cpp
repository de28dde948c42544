#include <chervilbend/node/callers/account_metrics.hpp>

#include <cstddef>

namespace chervilbend::node
{

namespace
{

/// In the order of account_decision.
constexpr std::array<const char *, accountDecisionCount> decisionNames{"admitted", "invalid_key", "configuration_unconfirmed", "over_quota"};
/// Further accounts share one entry, so that operators who rename accounts often do not make the table grow without bound.
constexpr std::size_t maxAccounts = 1'000;

} // namespace

account_metrics::account_metrics(base::metric_registry &registry)
    : m_registry(registry)
{
}

void account_metrics::count(const base::account_id &account, account_decision decision)
{
    const bool hasRoom = m_accounts.size() < maxAccounts || m_accounts.contains(account);
    const auto [entry, isNew] = m_accounts.try_emplace(hasRoom ? account : base::account_id("other"));
    if (isNew) {
        for (std::size_t i = 0; i < decisionNames.size(); ++i) {
            entry->second[i] = &m_registry.counterFor("chervilbend_account_requests_total",
                                                      "Requests of callers by account and by what was decided of them before they were queued",
                                                      {{"account", entry->first.value()}, {"decision", decisionNames[i]}});
        }
    }
    entry->second[static_cast<std::size_t>(decision)]->add();
}

} // namespace chervilbend::node
