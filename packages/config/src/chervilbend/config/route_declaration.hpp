#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/work_class.hpp>

#include <string>

namespace chervilbend::config
{

/// A path of a plain service that is exposed to callers.
struct route_declaration {
    /// Starts with '/'; the longest declared prefix of a request's path wins.
    std::string prefix;
    /// Upper-case HTTP method, or empty for all.
    std::string method;
    /// False for work that must not be repeated, such as a burn order; it runs at most once per idempotency key.
    bool repeatable = true;
    /// Top-level field of the JSON body that holds the idempotency key when the header is absent. Empty for none.
    std::string idempotencyField;
    base::work_class urgency = base::work_class::normal;
    /// Maximum time for a request; a caller may request a shorter time but not a longer one.
    base::milliseconds deadline{30'000};

    friend bool operator==(const route_declaration &, const route_declaration &) = default;
};

} // namespace chervilbend::config
