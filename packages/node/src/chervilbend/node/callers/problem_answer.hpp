#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/reason.hpp>
#include <chervilbend/net/http_types.hpp>

#include <optional>
#include <string>

namespace chervilbend::node
{

/// Problem document response (application/problem+json) with the run state in its header.
net::http_response problemAnswer(const base::reason &why, base::run_state state);
net::http_response problemAnswer(const base::reason &why);

/// Sets `Retry-After` in seconds with three decimals; without a value, removes the field.
void setRetryAfter(net::http_response &answer, std::optional<base::milliseconds> retryAfter);

/// Error event that is sent as the last event of a stream that cannot be completed.
std::string problemEvent(const base::reason &why, base::run_state state);

} // namespace chervilbend::node
