#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/membership/demand_tree.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <json/value.h>

#include <optional>
#include <vector>

namespace chervilbend::control
{

/// Returns the declared models sorted by id. Demand messages carry one value per model in this order.
std::vector<base::item_id> declaredModels(const state::replicated_state &state);

/// Encodes demand as 4 hexadecimal digits per model, with a hash of the model ids instead of the ids. Values keep 8 bits of precision.
Json::Value encodeDemand(const membership::demand_by_item &demand, const std::vector<base::item_id> &models);

/// Decodes demand. No value if the message is malformed or its sender has different declarations, which can last a few seconds after a publish.
std::optional<membership::demand_by_item> decodeDemand(const Json::Value &message, const std::vector<base::item_id> &models);

} // namespace chervilbend::control
