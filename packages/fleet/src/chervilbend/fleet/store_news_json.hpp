#pragma once

#include <chervilbend/fleet/store_news.hpp>

#include <json/value.h>

#include <optional>

namespace chervilbend::fleet
{

Json::Value toJson(const store_news &news);
/// No value for messages with missing or wrong members.
std::optional<store_news> readStoreNews(const Json::Value &json);

} // namespace chervilbend::fleet
