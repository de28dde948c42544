#include <chervilbend/fleet/engine_inventory.hpp>

#include <algorithm>

namespace chervilbend::fleet
{

namespace
{

/// After this time, an entry that an engine writes shows the effects of its last command.
constexpr base::milliseconds registrationLag{500};

/// An engine that could not be reached is tried again after this time; its registration may end before.
constexpr base::milliseconds failurePause{1'000};

bool holds(const std::vector<resident_model> &models, const std::string &model, const std::string &adapter)
{
    return std::any_of(models.begin(), models.end(), [&](const resident_model &each) {
        return each.name == model && (adapter.empty() || std::find(each.adapters.begin(), each.adapters.end(), adapter) != each.adapters.end());
    });
}

/// Enters an adapter that the engine has shown. One that is still to be loaded is there already, so that giving its load up frees no room.
bool noteHeld(held_model &model, const std::string &adapter)
{
    const auto [part, isNew] = model.adapters.try_emplace(adapter, held_adapter{item_state::loaded, base::time_point{}});
    const bool wasLoading = part->second.state == item_state::loading;
    if (wasLoading) {
        part->second.state = item_state::loaded;
    }
    return isNew || wasLoading;
}

} // namespace

int engine_record::adapterCount() const
{
    std::size_t count = 0;
    for (const auto &[name, model] : models) {
        count += model.adapters.size();
    }
    return static_cast<int>(count);
}

double engine_record::usedMb(const engine_rule &rule) const
{
    double sum = 0;
    for (const auto &[name, model] : models) {
        const model_rule *const declared = rule.findModel(name);
        // A model that is no longer declared may be of any size.
        sum += declared ? declared->weightMb : rule.memoryMb;
        sum += declared ? declared->adapterMb * static_cast<double>(model.adapters.size()) : 0;
    }
    return sum;
}

std::optional<item_state> stateOf(const engine_record &engine, const std::string &model, const std::string &adapter)
{
    const auto held = engine.models.find(model);
    if (held == engine.models.end()) {
        return std::nullopt;
    }
    if (adapter.empty()) {
        return held->second.state;
    }
    const auto part = held->second.adapters.find(adapter);
    return part == held->second.adapters.end() ? std::nullopt : std::optional(part->second.state);
}

std::vector<resident_model> loadedModels(const engine_record &engine)
{
    std::vector<resident_model> loaded;
    for (const auto &[name, model] : engine.models) {
        if (model.state != item_state::loaded) {
            continue;
        }
        resident_model &shown = loaded.emplace_back();
        shown.name = name;
        for (const auto &[adapter, held] : model.adapters) {
            if (held.state == item_state::loaded) {
                shown.adapters.push_back(adapter);
            }
        }
    }
    return loaded;
}

void engine_inventory::clear()
{
    m_engines.clear();
    ++m_version;
}

const engine_record *engine_inventory::find(const base::endpoint_id &engine) const
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second;
}

bool engine_inventory::fits(const base::endpoint_id &id, const engine_rule &rule) const
{
    const engine_record *const engine = find(id);
    return engine && engine->usedMb(rule) <= rule.memoryMb && engine->adapterCount() <= rule.adapterSlots;
}

engine_record *engine_inventory::get(const base::endpoint_id &engine)
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second;
}

void engine_inventory::touch(engine_record &engine)
{
    engine.version = ++m_version;
}

void engine_inventory::sync(const endpoint_registry::known_endpoint &known)
{
    const endpoint_entry &entry = known.entry;
    const auto found = m_engines.find(entry.id);
    const bool isNew = found == m_engines.end() || found->second.entry.startedAt != entry.startedAt;
    engine_record &engine = m_engines[entry.id];
    if (isNew) {
        engine = engine_record();
        for (const resident_model &model : entry.models) {
            held_model &held = engine.models[model.name];
            held.state = item_state::loaded;
            held.since = known.seen;
            for (const std::string &adapter : model.adapters) {
                held.adapters[adapter].state = item_state::loaded;
            }
        }
        engine.entry = entry;
        touch(engine);
        return;
    }
    const bool drains = entry.draining != engine.entry.draining;
    engine.entry = entry;
    if (drains) {
        touch(engine);
    }
    // What the engine has written long enough after the last command is what it holds. An entry may be old when it is read.
    if (engine.pending == 0 && known.writtenAfter - std::max(engine.lastCommand, engine.lastStatus) >= registrationLag) {
        take(engine, entry.models, {}, true);
        return;
    }
    // A load that has ended shows at once.
    for (auto &[name, model] : engine.models) {
        if (model.state == item_state::loading && holds(entry.models, name, {})) {
            model.state = item_state::loaded;
            model.since = base::clock::now();
            touch(engine);
        }
    }
}

void engine_inventory::remove(const base::endpoint_id &engine)
{
    if (m_engines.erase(engine) > 0) {
        ++m_version;
    }
}

bool engine_inventory::startLoad(const base::endpoint_id &id, const engine_rule &rule, const std::string &model, const std::string &adapter)
{
    engine_record *const engine = get(id);
    const model_rule *const declared = rule.findModel(model);
    if (!engine || !declared) {
        return false;
    }
    const auto held = engine->models.find(model);
    if (adapter.empty()) {
        if (held != engine->models.end() || engine->usedMb(rule) + declared->weightMb > rule.memoryMb) {
            return false;
        }
        engine->models[model] = {item_state::loading, base::clock::now(), {}};
    } else {
        const bool hasBase = held != engine->models.end() && held->second.state == item_state::loaded && !held->second.adapters.contains(adapter);
        if (!hasBase || engine->adapterCount() >= rule.adapterSlots || engine->usedMb(rule) + declared->adapterMb > rule.memoryMb) {
            return false;
        }
        held->second.adapters[adapter] = {item_state::loading, base::clock::now()};
    }
    touch(*engine);
    return true;
}

void engine_inventory::finishLoad(const base::endpoint_id &id, const std::string &model, const std::string &adapter)
{
    engine_record *const engine = get(id);
    const auto held = engine ? engine->models.find(model) : std::map<std::string, held_model>::iterator();
    if (!engine || held == engine->models.end()) {
        return;
    }
    if (adapter.empty()) {
        held->second.state = item_state::loaded;
        held->second.since = base::clock::now();
    } else if (const auto part = held->second.adapters.find(adapter); part != held->second.adapters.end()) {
        part->second.state = item_state::loaded;
    }
    touch(*engine);
}

void engine_inventory::cancelLoad(const base::endpoint_id &id, const std::string &model, const std::string &adapter)
{
    engine_record *const engine = get(id);
    // An item that the engine has shown meanwhile was loaded by somebody else, and stays.
    if (engine && stateOf(*engine, model, adapter) == item_state::loading) {
        finishUnload(id, model, adapter);
    }
}

bool engine_inventory::startUnload(const base::endpoint_id &id, const std::string &model, const std::string &adapter)
{
    engine_record *const engine = get(id);
    const auto held = engine ? engine->models.find(model) : std::map<std::string, held_model>::iterator();
    if (!engine || held == engine->models.end()) {
        return false;
    }
    item_state *state = &held->second.state;
    if (!adapter.empty()) {
        const auto part = held->second.adapters.find(adapter);
        if (part == held->second.adapters.end()) {
            return false;
        }
        state = &part->second.state;
    }
    if (*state != item_state::loaded) {
        return false;
    }
    *state = item_state::unloading;
    held->second.since = adapter.empty() ? base::clock::now() : held->second.since;
    touch(*engine);
    return true;
}

void engine_inventory::finishUnload(const base::endpoint_id &id, const std::string &model, const std::string &adapter)
{
    engine_record *const engine = get(id);
    const auto held = engine ? engine->models.find(model) : std::map<std::string, held_model>::iterator();
    if (!engine || held == engine->models.end()) {
        return;
    }
    if (adapter.empty()) {
        engine->models.erase(held);
    } else {
        held->second.adapters.erase(adapter);
    }
    touch(*engine);
}

void engine_inventory::cancelUnload(const base::endpoint_id &id, const std::string &model, const std::string &adapter)
{
    finishLoad(id, model, adapter);
}

void engine_inventory::noteLost(const base::endpoint_id &id)
{
    if (engine_record *const engine = get(id)) {
        engine->hasLost = true;
    }
}

void engine_inventory::noteFailure(const base::endpoint_id &id)
{
    if (engine_record *const engine = get(id)) {
        engine->avoidUntil = base::clock::now() + failurePause;
    }
}

void engine_inventory::noteCommand(const base::endpoint_id &id, bool accepted)
{
    if (engine_record *const engine = get(id)) {
        if (accepted) {
            engine->lastAccepted = base::clock::now();
        }
        if (engine->commands && accepted) {
            ++*engine->commands;
        }
        engine->lastCommand = base::clock::now();
        engine->hasLost = false;
    }
}

void engine_inventory::addPending(const base::endpoint_id &id, int change)
{
    if (engine_record *const engine = get(id)) {
        engine->pending = std::max(0, engine->pending + change);
    }
}

bool engine_inventory::reconcile(const base::endpoint_id &id, const engine_status &status)
{
    engine_record *const engine = get(id);
    const bool isOld = engine && engine->commands && status.commands < *engine->commands && base::clock::now() - engine->lastAccepted < statusLag;
    if (engine && !isOld) {
        // What was loaded within the lag may be missing from the status; so may the effect of a command that is under way.
        const bool isCurrent = !status.busy && base::clock::now() - engine->lastAccepted >= statusLag;
        take(*engine, status.models, status.loadingAdapters, isCurrent);
        settle(*engine, status);
        engine->lastStatus = base::clock::now();
    }
    return engine && !isOld;
}

void engine_inventory::settle(engine_record &engine, const engine_status &status)
{
    const base::time_point now = base::clock::now();
    if (status.busy) {
        engine.commands.reset();
        engine.shown.reset();
    } else if (engine.commands == status.commands) {
        return;
    } else if (engine.shown && engine.shown->first == status.commands && now - engine.shown->second >= statusLag) {
        engine.commands = status.commands;
        engine.shown.reset();
    } else {
        engine.commands.reset();
        if (!engine.shown || engine.shown->first != status.commands) {
            engine.shown = {status.commands, now};
        }
    }
}

void engine_inventory::take(engine_record &engine, const std::vector<resident_model> &models, const std::set<std::string> &loadingAdapters, bool mayErase)
{
    bool changed = false;
    // What the engine has and the ledger lacks.
    for (const resident_model &shown : models) {
        auto [model, isNew] = engine.models.try_emplace(shown.name, held_model{item_state::loaded, base::clock::now(), {}});
        changed = changed || isNew;
        for (const std::string &adapter : shown.adapters) {
            changed = noteHeld(model->second, adapter) || changed;
        }
    }
    for (const std::string &item : loadingAdapters) {
        const std::size_t slash = item.find('/');
        const auto model = engine.models.find(item.substr(0, slash));
        if (slash != std::string::npos && model != engine.models.end()) {
            changed = noteHeld(model->second, item.substr(slash + 1)) || changed;
        }
    }
    // What the ledger has as loaded and the engine lacks.
    for (auto model = engine.models.begin(); model != engine.models.end();) {
        const bool isThere = holds(models, model->first, {});
        const bool isSettled = mayErase && base::clock::now() - model->second.since >= statusLag;
        if (!isThere && isSettled && model->second.state != item_state::loading) {
            model = engine.models.erase(model);
            changed = true;
            continue;
        }
        if (isThere && model->second.state == item_state::loading) {
            model->second.state = item_state::loaded;
            model->second.since = base::clock::now();
            changed = true;
        }
        const auto lost = [&](const auto &adapter) {
            return mayErase && adapter.second.state != item_state::loading && !holds(models, model->first, adapter.first)
                && !loadingAdapters.contains(model->first + '/' + adapter.first);
        };
        changed = std::erase_if(model->second.adapters, lost) > 0 || changed;
        ++model;
    }
    if (changed) {
        touch(engine);
    }
}

void engine_inventory::noteUse(const base::endpoint_id &id, const std::string &model, const std::string &adapter, base::time_point when)
{
    engine_record *const engine = get(id);
    const auto held = engine ? engine->models.find(model) : std::map<std::string, held_model>::iterator();
    if (!engine || held == engine->models.end()) {
        return;
    }
    const auto part = held->second.adapters.find(adapter);
    if (part != held->second.adapters.end()) {
        part->second.lastUsed = std::max(part->second.lastUsed, when);
    }
}

} // namespace chervilbend::fleet
