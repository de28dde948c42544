#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/routing/quota_messages.hpp>

#include <optional>
#include <string>
#include <vector>

namespace chervilbend::fleet
{

using routing::quota_unit;

/// What an account may use per second over all nodes together.
struct quota_rule {
    quota_unit unit = quota_unit::requests;
    /// Units per second; 0 for no limit.
    double rate = 0;
    /// Units that may be used at once after a time of less use.
    double burst = 0;
    /// With quota_unit::tokens: what a request without token counts costs.
    double plainTokens = 0;

    bool isLimited() const
    {
        return rate > 0;
    }

    friend bool operator==(const quota_rule &, const quota_rule &) = default;
};

/// A client account of the operators' configuration.
struct account_rule {
    base::account_id id;
    /// Each of these identifies the account.
    std::vector<std::string> keys;
    /// 0 is the most urgent; without a value the route's priority decides alone.
    std::optional<int> priority;
    quota_rule quota;
};

} // namespace chervilbend::fleet
