#pragma once

namespace chervilbend::fleet
{

struct caller_request;
struct quota_rule;

/// What a request costs of its account's quota: one request, or the tokens that it reads and may generate.
double costOf(const caller_request &caller, const quota_rule &quota);

} // namespace chervilbend::fleet
