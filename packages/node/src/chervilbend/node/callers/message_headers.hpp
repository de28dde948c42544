#pragma once

#include <chervilbend/net/http_types.hpp>

namespace chervilbend::node
{

struct forwarding_plan;

/// Builds the request to the endpoint: without hop-by-hop fields, and with the account, the class and the remaining time as limited by the
/// declaration instead of those that the caller asked for.
net::http_request requestForEndpoint(const net::http_request &request, const forwarding_plan &plan);

/// Copies the fields of the endpoint's response, except hop-by-hop fields, to the caller's response.
void copyResponseFields(const net::http::fields &from, net::http::fields &to);

/// Response field with the run state: whether the request was executed.
inline constexpr const char *runStateField = "X-Run-State";

} // namespace chervilbend::node
