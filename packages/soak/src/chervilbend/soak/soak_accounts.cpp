#include <chervilbend/soak/soak_accounts.hpp>

#include <array>
#include <sstream>

namespace chervilbend::soak
{

namespace
{

/// Indexes of soak_accounts::accounts().
constexpr std::size_t north = 0;
constexpr std::size_t south = 1;
constexpr std::string_view addedKey = "north-added-key";
constexpr std::string_view removedKey = "south-removed-key";

struct key_share {
    std::string_view text;
    std::string_view account;
    key_validity validity;
    int percent;
};

/// The share of the requests that each key gets.
constexpr std::array<key_share, 7> keyShares{{
    {"north-key", "north", key_validity::always, 54},
    {"south-key", "south", key_validity::always, 24},
    {"low-key", "low", key_validity::always, 8},
    {addedKey, "north", key_validity::inSomeVersions, 5},
    {removedKey, "south", key_validity::inSomeVersions, 5},
    {"unknown-key", "", key_validity::never, 2},
    {"", "", key_validity::never, 2},
}};

} // namespace

soak_accounts::soak_accounts()
    : m_accounts{
        {"north", {"north-key"}, 0, {200, 200}},
        {"south", {"south-key", std::string(removedKey)}, 1, {60, 60}},
        {"low", {"low-key"}, 2, {8, 8}},
    }
{
}

void soak_accounts::apply(account_change change)
{
    account_limit &limit = m_accounts[south].limit;
    switch (change) {
    case account_change::halveLimit:
        limit = {limit.rate / 2, limit.burst / 2};
        break;
    case account_change::addKey:
        m_accounts[north].keys.emplace_back(addedKey);
        break;
    case account_change::removeKey:
        m_accounts[south].keys.pop_back();
        break;
    case account_change::restoreLimit:
        limit = {limit.rate * 2, limit.burst * 2};
        break;
    }
}

std::string soak_accounts::toJson() const
{
    std::ostringstream text;
    for (const account &one : m_accounts) {
        text << (text.tellp() > 0 ? "," : "[") << R"({"name":")" << one.name << R"(","apiKeys":[)";
        for (const std::string &key : one.keys) {
            text << (&key == &one.keys.front() ? "\"" : ",\"") << key << '"';
        }
        text << R"(],"priority":)" << one.priority << R"(,"unit":"requests","ratePerS":)" << one.limit.rate << R"(,"burst":)" << one.limit.burst << '}';
    }
    text << ']';
    return text.str();
}

account_key soak_accounts::drawKey(fakes::seeded_random &random)
{
    std::int64_t left = random.between(1, 100);
    for (const key_share &share : keyShares) {
        left -= share.percent;
        if (left <= 0) {
            return {std::string(share.text), std::string(share.account), share.validity};
        }
    }
    return {};
}

} // namespace chervilbend::soak
