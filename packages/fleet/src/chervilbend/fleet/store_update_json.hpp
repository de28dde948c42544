#pragma once

#include <chervilbend/fleet/store_update.hpp>

#include <json/value.h>

#include <optional>

namespace chervilbend::fleet
{

Json::Value toJson(const store_update &news);
/// No value for messages with missing or wrong members.
std::optional<store_update> readStoreNews(const Json::Value &json);

} // namespace chervilbend::fleet
