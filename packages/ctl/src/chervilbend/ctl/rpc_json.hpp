#pragma once

#include <chervilbend/config/service_declaration.hpp>

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>

namespace chervilbend::ctl
{

/// Read a member of a node's response. A member that is absent or of another type gives an empty value, since nodes of other versions may
/// respond differently.
std::string textOf(const Json::Value &object, const char *name);
std::int64_t numberOf(const Json::Value &object, const char *name);
bool flagOf(const Json::Value &object, const char *name);
Json::Value listOf(const Json::Value &object, const char *name);

/// Convert a declaration to the JSON form of config::toJson() and back.
Json::Value rpcJsonOf(const config::service_declaration &declaration);
std::optional<config::service_declaration> declarationOf(const Json::Value &json);

} // namespace chervilbend::ctl
