#pragma once

#include <chervilbend/routing/rate_limit_messages.hpp>

#include <json/value.h>

#include <optional>

namespace chervilbend::fleet
{

/// The messages by which the nodes divide the request rates of endpoints. The read functions return no value for messages with missing or invalid
/// members.
Json::Value toJson(const routing::rate_limit_report &report);
std::optional<routing::rate_limit_report> readRateLimitReport(const Json::Value &json);

Json::Value toJson(const routing::rate_limit_answer &answer);
std::optional<routing::rate_limit_answer> readRateLimitAnswer(const Json::Value &json);

} // namespace chervilbend::fleet
