#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <functional>
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
    /// Whether the caller's connection is closed. Asked when the order starts: a request that lay in the buffers of a paused process may
    /// be older than a later attempt that was answered "not run", and its caller has closed the connection before that. Empty for no.
    std::function<bool()> callerHasLeft;
};

} // namespace chervilbend::control
