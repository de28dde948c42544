#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <string>

namespace chervilbend::control
{

/// A request for work that may run at most once.
struct order_request {
    base::account_id account;
    /// Service and path, which scope the key together with the account.
    std::string route;
    std::string idempotencyKey;
    std::string body;
    /// The caller says that it never sent this key before.
    bool firstAttempt = false;
    base::time_point deadline;
};

} // namespace chervilbend::control
