#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason.hpp>

#include <optional>

namespace chervilbend::fleet
{
class route_table;
struct account_rule;
struct caller_request;
struct route_rule;
} // namespace chervilbend::fleet

namespace chervilbend::node
{

/// How far a configuration may be trusted that the store has not confirmed lately.
struct authentication_settings {
    /// A new version is in force on all nodes after this time.
    base::milliseconds configurationBound{3'000};
    /// Whether requests that need a key are refused when the configuration has not been confirmed for revocationBound, so that a removed key can't be used
    /// for longer.
    bool strictRevocation = false;
    base::milliseconds revocationBound{5'000};
};

/// Whose request it is, or why it is refused.
struct authentication {
    /// Set if the request is refused.
    std::optional<base::reason> refusal;
    /// Empty for a request on a public route without a valid key; no value if the configuration has no accounts.
    std::optional<base::account_id> account;
    /// nullptr if there is no account, or another node has named one that this node's configuration lacks.
    const fleet::account_rule *rule = nullptr;
};

/// Finds the account of a request by its key.
///
/// A node whose configuration may be out of date does not tell a caller that its key is unknown: the caller would give up, although the key may have been
/// added since.
class caller_authentication
{
public:
    explicit caller_authentication(authentication_settings settings);

    /// @p configurationAge is the time since the store confirmed the configuration. @p isRelayed: another node has passed the request on.
    authentication authenticate(const fleet::route_table &routes,
                                const fleet::route_rule &route,
                                const fleet::caller_request &caller,
                                bool isRelayed,
                                base::milliseconds configurationAge) const;

private:
    std::optional<base::reason> refusalWithoutKey(const fleet::caller_request &caller, base::milliseconds configurationAge) const;

    authentication_settings m_settings;
};

} // namespace chervilbend::node
