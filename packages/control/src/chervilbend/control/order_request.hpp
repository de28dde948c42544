#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <functional>
#include <string>

namespace chervilbend::control
{

/// A request that must be executed at most once.
struct order_request {
    base::account_id account;
    /// Service and path. Together with the account, they define the scope of the key.
    std::string route;
    std::string idempotencyKey;
    std::string body;
    /// Whether the caller has declared that it never sent this key before.
    bool firstAttempt = false;
    base::time_point deadline;
    /// Returns whether the caller has closed its connection. Checked when the order starts: a request that was buffered while the process was
    /// paused may be older than a later attempt that was answered "not run", and its caller closed the connection before that attempt. If
    /// empty, the caller counts as connected.
    std::function<bool()> callerHasLeft;
};

} // namespace chervilbend::control
