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

/// A declaration in the form of config::toJson.
Json::Value toRpcJson(const config::service_declaration &declaration);

/// The reverse; without a value, @p why says what is wrong.
std::optional<config::service_declaration> declarationFromRpc(const Json::Value &json, std::string &why);

Json::Value toRpcJson(const std::vector<std::string> &lines);

Json::Value toRpcJson(base::log_offset offset);

/// Id, author, base, version, state and reason of a publish, without its declaration.
Json::Value summaryOf(const publish_record &record);

/// What @p after changes in @p before, as lines; null when one of the two is not known to this node. @p before is nullptr for a new service.
Json::Value changesBetween(const publish_record *before, const publish_record &after);

/// A text parameter; empty when it is absent or of another type.
std::string textParameter(const Json::Value &parameters, const char *name);

/// A whole parameter of 0 or more; no value when it is absent or of another type.
std::optional<std::int64_t> numberParameter(const Json::Value &parameters, const char *name);

} // namespace chervilbend::node
