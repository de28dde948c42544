#include <chervilbend/fleet/model_policy.hpp>

#include <chervilbend/config/model_declaration.hpp>
#include <chervilbend/state/views.hpp>

#include <algorithm>
#include <cmath>
#include <variant>

namespace chervilbend::fleet
{

namespace
{

constexpr double bytesPerMb = 1'000'000;
/// Number of concurrent loads that the weight store serves at full speed, as a fraction of those in progress at its maximum start rate.
constexpr double storeSlotShare = 0.75;
/// Engines do not report model versions: a load always takes the newest one.
const std::string placeholderVersion = "1";

base::byte_count bytes(double mb)
{
    return base::byte_count(static_cast<std::int64_t>(mb * bytesPerMb));
}

placement::planner_settings plannerSettings()
{
    placement::planner_settings settings;
    // Prefill interleaves with the decoding of running streams, so arrivals on few engines cause long pauses well before all slots are used.
    settings.scaleUpUtilisation = 0.12;
    settings.maxUtilisationAfterDrop = 0.10;
    settings.scaleDownUtilisation = 0.02;
    settings.scaleDownDelay = base::milliseconds(20'000);
    // Demand shifts between models within seconds, and a load takes two or three seconds.
    settings.riseTime = base::milliseconds(200);
    settings.fallTime = base::milliseconds(1'500);
    settings.paybackPeriod = base::milliseconds(200'000);
    settings.coldCacheCost = base::milliseconds(500);
    settings.movesPerMinute = 600;
    settings.loadTimeout = base::milliseconds(20'000);
    settings.reservationTimeout = base::milliseconds(5'000);
    return settings;
}

base::item_id itemFor(const std::string &model)
{
    return base::item_id(model + '@' + placeholderVersion);
}

state::residency residencyOf(item_state state)
{
    switch (state) {
    case item_state::loading:
        return state::residency::assigned;
    case item_state::loaded:
        return state::residency::loaded;
    case item_state::unloading:
        break;
    }
    return state::residency::dropping;
}

placement::store_capacity paceOf(const engine_rule &engine)
{
    base::milliseconds longest{1};
    for (const model_rule &model : engine.models) {
        longest = std::max(longest, model.loadTime);
    }
    placement::store_capacity pace;
    pace.loadsPerSecond = engine.loadsPerSecond;
    pace.slots = std::max(1, static_cast<int>(std::lround(storeSlotShare * engine.loadsPerSecond * static_cast<double>(longest.count()) / 1'000.0)));
    return pace;
}

} // namespace

model_policy::model_policy()
    : m_planner(plannerSettings())
{
}

std::vector<model_change>
    model_policy::plan(const engine_inventory &inventory, const service_rule &service, const model_demand &demand, base::time_point /*now*/)
{
    const engine_rule &rule = *service.engine;
    double adapterMb = 0;
    std::map<base::service_id, state::service_view> services;
    config::service_declaration &declaration = services[service.id].declaration;
    declaration.service = service.id;
    for (const model_rule &model : rule.models) {
        config::model_declaration &declared = declaration.models.emplace_back();
        declared.name = model.name;
        declared.version = placeholderVersion;
        declared.weights = bytes(model.weightMb);
        adapterMb = std::max(adapterMb, model.adapters > 0 ? model.adapterMb : 0);
    }
    // The planner does not manage adapters, so memory for the maximum number of adapters is reserved.
    const double usableMb = rule.memoryMb - adapterMb * rule.adapterSlots;
    std::map<base::endpoint_id, state::endpoint_view> endpoints;
    placement::planner_input input{services, endpoints, {}, {}, paceOf(rule), base::log_offset(1)};
    for (const auto &[id, engine] : inventory.engines()) {
        if (engine.entry.service != service.id) {
            continue;
        }
        state::endpoint_view &view = endpoints[id];
        view.zone = engine.entry.zone;
        view.memory = bytes(usableMb);
        for (const auto &[name, model] : engine.models) {
            const model_rule *const declared = rule.findModel(name);
            const base::byte_count size = bytes(declared ? declared->weightMb : usableMb);
            view.items[itemFor(name)] = {residencyOf(model.state), size, {}, {}};
            view.reserved += size;
        }
        if (!engine.entry.draining && base::clock::now() >= engine.avoidUntil) {
            input.usable.insert(id);
        }
    }
    for (const auto &[model, busy] : demand) {
        input.demand[itemFor(model)] = busy;
    }
    std::vector<model_change> changes;
    for (const placement::planned_change &change : m_planner.plan(input)) {
        if (const auto *const assign = std::get_if<state::assign_entry>(&change.entry)) {
            changes.push_back({assign->endpoint, config::nameOf(assign->item), true, change.reason});
        } else if (const auto *const drop = std::get_if<state::drop_entry>(&change.entry)) {
            changes.push_back({drop->endpoint, config::nameOf(drop->item), false, change.reason});
        }
    }
    return changes;
}

} // namespace chervilbend::fleet
