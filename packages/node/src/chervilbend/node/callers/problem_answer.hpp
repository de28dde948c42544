#pragma once

#include <chervilbend/base/reason.hpp>
#include <chervilbend/net/http_types.hpp>

#include <string>

namespace chervilbend::node
{

/// Problem document response (application/problem+json) with the run state in its header.
net::http_response problemAnswer(const base::reason &why, base::run_state state);
net::http_response problemAnswer(const base::reason &why);

/// Error event that is sent as the last event of a stream that cannot be completed.
std::string problemEvent(const base::reason &why, base::run_state state);

} // namespace chervilbend::node
