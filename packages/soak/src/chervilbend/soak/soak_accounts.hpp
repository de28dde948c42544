#pragma once

#include <chervilbend/fakes/seeded_random.hpp>

#include <string>
#include <vector>

namespace chervilbend::soak
{

/// Which versions of the configuration contain a key.
enum class key_validity {
    never,
    inSomeVersions,
    always,
};

/// A key that a caller sends.
struct account_key {
    /// Empty: the request has no key.
    std::string text;
    /// The account that it identifies; empty if no version contains it.
    std::string account;
    key_validity validity = key_validity::never;
};

/// The quota of an account in requests.
struct account_limit {
    double rate = 0;
    double burst = 0;
};

/// What the operator changes during a soak, in this order.
enum class account_change {
    halveLimit,
    addKey,
    removeKey,
    restoreLimit,
};

/// The accounts in the configuration of a soak, and the keys that its callers send.
class soak_accounts
{
public:
    struct account {
        std::string name;
        std::vector<std::string> keys;
        int priority = 0;
        account_limit limit;
    };

    soak_accounts();

    void apply(account_change change);
    const std::vector<account> &accounts() const
    {
        return m_accounts;
    }
    /// The member "tenants" of the configuration, without its name.
    std::string toJson() const;

    /// The key of one request: mostly one that every version contains.
    static account_key drawKey(fakes::seeded_random &random);

private:
    std::vector<account> m_accounts;
};

} // namespace chervilbend::soak
