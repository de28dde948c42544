#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>

#include <optional>
#include <string>
#include <vector>

namespace chervilbend::fleet
{

/// A model that a service's engines can hold.
struct model_rule {
    std::string name;
    /// Size of the weights, in megabytes.
    double weightMb = 0;
    /// From the weight store, alone and at full speed.
    base::milliseconds loadTime{0};
    /// From an engine's own disk, and from its host memory.
    base::milliseconds diskLoadTime{0};
    base::milliseconds warmLoadTime{0};
    /// Number of adapters; their names are "a1", "a2", and so on.
    int adapters = 0;
    double adapterMb = 0;
};

/// What all engines of a service have in common.
struct engine_rule {
    /// Requests that run at once on one engine.
    int slots = 1;
    /// Memory for weights and adapters together, in megabytes.
    double memoryMb = 0;
    /// Adapters that one engine may hold.
    int adapterSlots = 0;
    /// Loads from the weight store that may begin per second, over all engines.
    double loadsPerSecond = 0;
    /// Tokens that the KV cache of one engine holds.
    double kvCacheTokens = 0;
    /// Tokens that one event of a stream holds.
    int tokensPerEvent = 1;
    std::vector<model_rule> models;

    const model_rule *findModel(const std::string &name) const;
};

/// A service behind the system's routes.
struct service_rule {
    base::service_id id;
    /// Connections that one endpoint accepts from all callers together.
    int connectionLimit = 0;
    /// Set for services whose endpoints are model engines.
    std::optional<engine_rule> engine;
};

} // namespace chervilbend::fleet
