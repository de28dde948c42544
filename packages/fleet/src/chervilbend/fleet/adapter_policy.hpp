#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/engine_inventory.hpp>
#include <chervilbend/fleet/traffic_configuration.hpp>

#include <optional>
#include <string>
#include <utility>

namespace chervilbend::fleet
{

/// Where an adapter is to be loaded, and which one has to be evicted first.
struct adapter_placement {
    base::endpoint_id engine;
    /// Model and adapter to evict; no value when a slot is free.
    std::optional<std::pair<std::string, std::string>> victim;
};

/// Selects an engine for an adapter of a loaded model: one that holds the model and has a free adapter slot if there is one, otherwise one where
/// the least recently used adapter is evicted. Adapters are spread evenly, because requests for an adapter can only run where it is loaded.
/// No value when no engine that accepts new work holds the model, or no adapter can be evicted.
std::optional<adapter_placement> placeAdapter(const engine_inventory &inventory, const service_rule &service, const std::string &model);

} // namespace chervilbend::fleet
