#pragma once

#include <chervilbend/fleet/account_rule.hpp>
#include <chervilbend/fleet/route_rule.hpp>
#include <chervilbend/fleet/service_rule.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chervilbend::fleet
{

/// One complete version of the operators' configuration.
struct traffic_configuration {
    /// Greater than that of all earlier versions.
    std::int64_t version = 0;
    std::vector<route_rule> routes;
    std::map<base::service_id, service_rule> services;
    /// No value if the configuration has no accounts; requests need no key then.
    std::optional<std::vector<account_rule>> accounts;
    /// How long a caller's connection may stay idle.
    base::milliseconds idleTimeout{60'000};
};

} // namespace chervilbend::fleet
