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
    /// From the weight store, without concurrent loads.
    base::milliseconds loadTime{0};
    /// From an engine's own disk, and from its host memory.
    base::milliseconds diskLoadTime{0};
    base::milliseconds warmLoadTime{0};
    /// Number of adapters; their names are "a1", "a2", and so on.
    int adapters = 0;
    double adapterMb = 0;
};

/// Settings that all engines of a service share.
struct engine_rule {
    /// Number of requests that one engine runs concurrently.
    int slots = 1;
    /// Memory for weights and adapters together, in megabytes.
    double memoryMb = 0;
    /// Maximum number of adapters on one engine.
    int adapterSlots = 0;
    /// Maximum rate at which loads from the weight store may start, over all engines.
    double loadsPerSecond = 0;
    /// Capacity of one engine's KV cache, in tokens.
    double kvCacheTokens = 0;
    /// Number of tokens in one event of a stream.
    int tokensPerEvent = 1;
    std::vector<model_rule> models;

    const model_rule *findModel(const std::string &name) const;
};

/// A service that routes can send requests to.
struct service_rule {
    base::service_id id;
    /// Connections that one endpoint accepts from all callers together.
    int connectionLimit = 0;
    /// Set for services whose endpoints are model engines.
    std::optional<engine_rule> engine;
};

} // namespace chervilbend::fleet
