#pragma once

#include <chervilbend/net/http_types.hpp>

namespace chervilbend::node
{

struct forwarding_plan;

/// The request as it goes to the endpoint: without the fields that concern only the caller's connection, and with the account, the class
/// and the remaining time that the declaration allows instead of those that the caller asked for.
net::http_request requestForEndpoint(const net::http_request &request, const forwarding_plan &plan);

/// Copies the endpoint's fields to the caller's answer, without those that concern only the endpoint's connection.
void copyAnswerFields(const net::http::fields &from, net::http::fields &to);

/// Name of the answer's field that says whether the work ran.
inline constexpr const char *runStateField = "X-Run-State";

} // namespace chervilbend::node
