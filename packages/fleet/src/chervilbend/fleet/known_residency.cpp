#include <chervilbend/fleet/known_residency.hpp>

#include <algorithm>

namespace chervilbend::fleet
{

namespace
{

/// A refusal is outdated by commands that are executed after it, so it expires; the next update or registration has the current state.
constexpr base::milliseconds refusalLifetime{600};

std::string itemName(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + '/' + adapter;
}

} // namespace

known_residency::known_residency(const endpoint_registry &registry)
    : m_registry(registry)
{
}

std::set<base::endpoint_id> known_residency::apply(const std::vector<engine_update> &updates)
{
    std::set<base::endpoint_id> changed;
    for (const engine_update &each : updates) {
        engine_update &known = m_updates[each.engine];
        if (each.token < known.token || (each.token == known.token && each.version < known.version)) {
            continue;
        }
        known = each;
        changed.insert(each.engine);
        std::erase_if(m_missing, [&](const auto &missing) { return missing.first.first == each.engine; });
    }
    return changed;
}

void known_residency::discardUpdates()
{
    m_updates.clear();
}

void known_residency::noteMissing(const base::endpoint_id &engine, const std::string &model, const std::string &adapter)
{
    const base::time_point now = base::clock::now();
    std::erase_if(m_missing, [now](const auto &missing) { return missing.second <= now; });
    m_missing[{engine, itemName(model, adapter)}] = now + refusalLifetime;
}

bool known_residency::isMissing(const base::endpoint_id &engine, const std::string &model, const std::string &adapter) const
{
    const auto found = m_missing.find({engine, itemName(model, adapter)});
    return found != m_missing.end() && base::clock::now() < found->second;
}

std::vector<resident_model> known_residency::modelsAt(const base::endpoint_id &endpoint) const
{
    const auto registered = m_registry.endpoints().find(endpoint);
    if (registered == m_registry.endpoints().end()) {
        return {};
    }
    const endpoint_entry &entry = registered->second.entry;
    const auto update = m_updates.find(endpoint);
    const bool hasUpdate = update != m_updates.end() && update->second.startedAt == entry.startedAt;
    std::vector<resident_model> models = hasUpdate ? update->second.models : entry.models;
    if (m_missing.empty()) {
        return models;
    }
    std::erase_if(models, [&](const resident_model &model) { return isMissing(endpoint, model.name, {}); });
    for (resident_model &model : models) {
        std::erase_if(model.adapters, [&](const std::string &adapter) { return isMissing(endpoint, model.name, adapter); });
    }
    return models;
}

bool known_residency::isHeld(const requested_item &item) const
{
    for (const auto &[id, known] : m_registry.endpoints()) {
        if (known.entry.service != item.service || known.entry.draining) {
            continue;
        }
        for (const resident_model &model : modelsAt(id)) {
            if (model.name == item.model
                && (item.adapter.empty() || std::find(model.adapters.begin(), model.adapters.end(), item.adapter) != model.adapters.end())) {
                return true;
            }
        }
    }
    return false;
}

} // namespace chervilbend::fleet
