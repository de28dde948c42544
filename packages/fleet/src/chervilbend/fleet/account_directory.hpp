#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/account_rule.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervilbend::fleet
{

/// Finds the account that a key identifies, in one version of the configuration.
class account_directory
{
public:
    /// @p accounts must outlive the directory. A key that several accounts list identifies the first of them.
    explicit account_directory(const std::vector<account_rule> &accounts);

    /// nullptr if no account has the key; the empty key identifies none.
    const account_rule *findByKey(std::string_view key) const;
    /// nullptr if there is no account of this name.
    const account_rule *findById(const base::account_id &id) const;

private:
    /// Lookups take a part of a header without copying it.
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    std::unordered_map<std::string, const account_rule *, text_hash, std::equal_to<>> m_byKey;
    std::unordered_map<base::account_id, const account_rule *> m_byId;
};

} // namespace chervilbend::fleet
