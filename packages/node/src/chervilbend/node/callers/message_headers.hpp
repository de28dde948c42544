#pragma once

#include <chervilbend/net/http_types.hpp>

#include <string>

namespace chervilbend::node
{

/// The request as it goes to the endpoint: without the fields that concern only the caller's connection.
net::http_request requestForEndpoint(const net::http_request &request, const std::string &idempotencyKey);

/// Copies the endpoint's fields to the caller's answer, without those that concern only the endpoint's connection.
void copyAnswerFields(const net::http::fields &from, net::http::fields &to);

/// Name of the answer's field that says whether the work ran.
inline constexpr const char *runStateField = "X-Run-State";

} // namespace chervilbend::node
