#pragma once

#include <chervilbend/config/service_declaration.hpp>

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>

namespace chervilbend::ctl
{

/// Members of a node's answer. An absent member, or one of another type, gives an empty value: answers of other versions may differ.
std::string textOf(const Json::Value &object, const char *name);
std::int64_t numberOf(const Json::Value &object, const char *name);
bool flagOf(const Json::Value &object, const char *name);
Json::Value listOf(const Json::Value &object, const char *name);

/// A declaration in the form of config::toJson, and back.
Json::Value rpcJsonOf(const config::service_declaration &declaration);
std::optional<config::service_declaration> declarationOf(const Json::Value &json);

} // namespace chervilbend::ctl
