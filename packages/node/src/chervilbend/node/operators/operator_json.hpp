#pragma once

#include <chervilbend/config/service_declaration.hpp>
#include <chervilbend/node/operators/publish_record.hpp>

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilbend::node
{

/// Converts a declaration to the JSON form of config::toJson().
Json::Value toRpcJson(const config::service_declaration &declaration);

/// Reverses toRpcJson(). If the JSON is invalid, returns no value and describes the error in @p errorText.
std::optional<config::service_declaration> declarationFromRpc(const Json::Value &json, std::string &errorText);

Json::Value toRpcJson(const std::vector<std::string> &lines);

Json::Value toRpcJson(base::log_offset offset);

/// Id, author, base, version, state and reason of a publish, without its declaration.
Json::Value summaryOf(const publish_record &record);

/// Differences from @p before to @p after, as lines; null if this node does not have both declarations. @p before is nullptr for a new
/// service.
Json::Value changesBetween(const publish_record *before, const publish_record &after);

/// A string parameter; empty if it is absent or of another type.
std::string textParameter(const Json::Value &parameters, const char *name);

/// A non-negative integer parameter; no value if it is absent, negative or of another type.
std::optional<std::int64_t> numberParameter(const Json::Value &parameters, const char *name);

} // namespace chervilbend::node
