#include <chervilbend/fleet/adapter_policy.hpp>

#include <algorithm>
#include <tuple>

namespace chervilbend::fleet
{

namespace
{

/// An engine unloads an adapter in use only after its requests have ended, and accepts no other command until then. Nodes report the adapters of
/// their open requests every half second.
constexpr base::milliseconds minIdleTime{1'000};

/// The least recently used adapter of an engine, among those that can be unloaded.
struct idle_adapter {
    std::string model;
    std::string adapter;
    base::time_point lastUsed = base::time_point::max();
};

idle_adapter leastRecentlyUsed(const engine_record &engine)
{
    idle_adapter oldest;
    const base::time_point idleBefore = base::clock::now() - minIdleTime;
    for (const auto &[name, model] : engine.models) {
        for (const auto &[adapter, held] : model.adapters) {
            if (held.state == item_state::loaded && model.state == item_state::loaded && held.lastUsed < std::min(oldest.lastUsed, idleBefore)) {
                oldest = {name, adapter, held.lastUsed};
            }
        }
    }
    return oldest;
}

bool isChangingModels(const engine_record &engine)
{
    return std::any_of(engine.models.begin(), engine.models.end(), [](const auto &model) { return model.second.state != item_state::loaded; });
}

} // namespace

std::optional<adapter_placement> placeAdapter(const engine_inventory &inventory, const service_rule &service, const std::string &model)
{
    std::optional<adapter_placement> best;
    // An engine that loads or unloads a model accepts no other command until it has finished.
    std::tuple<bool, bool, base::time_point, int> bestRank;
    for (const auto &[id, engine] : inventory.engines()) {
        const auto held = engine.models.find(model);
        if (engine.entry.service != service.id || engine.entry.draining || held == engine.models.end() || held->second.state != item_state::loaded
            || base::clock::now() < engine.avoidUntil) {
            continue;
        }
        const bool isFull = engine.adapterCount() >= service.engine->adapterSlots;
        const idle_adapter victim = isFull ? leastRecentlyUsed(engine) : idle_adapter();
        if (isFull && victim.adapter.empty()) {
            continue;
        }
        const std::tuple rank(isChangingModels(engine), isFull, isFull ? victim.lastUsed : base::time_point{}, engine.adapterCount() + engine.pending);
        if (!best || rank < bestRank) {
            bestRank = rank;
            best = adapter_placement{id, std::nullopt};
            if (isFull) {
                best->victim = std::pair(victim.model, victim.adapter);
            }
        }
    }
    return best;
}

} // namespace chervilbend::fleet
