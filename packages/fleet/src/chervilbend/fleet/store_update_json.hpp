#pragma once

#include <chervilbend/fleet/store_update.hpp>

#include <json/value.h>

#include <optional>

namespace chervilbend::fleet
{

Json::Value toJson(const store_update &update);
/// No value for messages with missing or invalid members.
std::optional<store_update> readStoreUpdate(const Json::Value &json);

} // namespace chervilbend::fleet
