#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/membership/demand_tree.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <json/value.h>

#include <optional>
#include <vector>

namespace chervilbend::control
{

/// The models that are declared, by id; demand messages carry one number for each in this order.
std::vector<base::item_id> declaredModels(const state::replicated_state &state);

/// Writes demand as 4 hexadecimal digits per model, with a hash of the models' ids in place of them. Values keep 8 bits of precision.
Json::Value encodeDemand(const membership::demand_by_item &demand, const std::vector<base::item_id> &models);

/// Reads demand. No value when the message is malformed or its sender sees other declarations, as it may for a few seconds after a publish.
std::optional<membership::demand_by_item> decodeDemand(const Json::Value &message, const std::vector<base::item_id> &models);

} // namespace chervilbend::control
