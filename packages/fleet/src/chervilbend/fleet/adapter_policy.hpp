#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/engine_inventory.hpp>
#include <chervilbend/fleet/traffic_configuration.hpp>

#include <optional>
#include <string>
#include <utility>

namespace chervilbend::fleet
{

/// Where an adapter is to be loaded, and what has to go first.
struct adapter_place {
    base::endpoint_id engine;
    /// Model and adapter that make room; no value when a place is free.
    std::optional<std::pair<std::string, std::string>> victim;
};

/// The place for an adapter of a loaded model: an engine that holds the model, with a free place for adapters where there is one, and otherwise
/// in place of the adapter that was used the longest time ago. Adapters spread evenly, because requests for an adapter can go nowhere else.
/// No value when no engine that takes new work holds the model.
std::optional<adapter_place> placeAdapter(const engine_inventory &ledger, const service_rule &service, const std::string &model);

} // namespace chervilbend::fleet
