#pragma once

#include <chervilbend/fleet/engine_update.hpp>

#include <json/value.h>

#include <optional>
#include <vector>

namespace chervilbend::fleet
{

/// The messages between a node and the holder of the command lease. Readers give no value for messages with missing or wrong members.
Json::Value toJson(const node_report &report);
std::optional<node_report> readNodeReport(const Json::Value &json);

Json::Value toJson(const holder_response &answer);
std::optional<holder_response> readHolderAnswer(const Json::Value &json);

Json::Value toJson(const requested_item &item);
std::optional<requested_item> readWantedItem(const Json::Value &json);

Json::Value toJson(const std::vector<engine_update> &news);
std::optional<std::vector<engine_update>> readNews(const Json::Value &json);

} // namespace chervilbend::fleet
