#pragma once

#include <chervilbend/fleet/engine_update.hpp>

#include <json/value.h>

#include <optional>
#include <vector>

namespace chervilbend::fleet
{

/// The messages between a node and the holder of the command lease. The read functions return no value for messages with missing or invalid
/// members.
Json::Value toJson(const node_report &report);
std::optional<node_report> readNodeReport(const Json::Value &json);

Json::Value toJson(const holder_response &answer);
std::optional<holder_response> readHolderResponse(const Json::Value &json);

Json::Value toJson(const requested_item &item);
std::optional<requested_item> readRequestedItem(const Json::Value &json);

Json::Value toJson(const std::vector<engine_update> &updates);
std::optional<std::vector<engine_update>> readEngineUpdates(const Json::Value &json);

} // namespace chervilbend::fleet
