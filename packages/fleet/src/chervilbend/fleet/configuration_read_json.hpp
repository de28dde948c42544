#pragma once

#include <chervilbend/fleet/configuration_request.hpp>
#include <chervilbend/fleet/remote_configuration.hpp>

#include <json/value.h>

#include <optional>

namespace chervilbend::fleet
{

/// JSON form of the messages of configuration_read_method.
Json::Value toJson(const configuration_request &request);
Json::Value toJson(const remote_configuration &answer);

/// No value when a member is missing, has the wrong type or is out of range.
std::optional<configuration_request> readConfigurationRequest(const Json::Value &json);
std::optional<remote_configuration> readRemoteConfiguration(const Json::Value &json);

} // namespace chervilbend::fleet
