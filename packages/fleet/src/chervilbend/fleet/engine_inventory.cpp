#include <chervilbend/fleet/engine_inventory.hpp>

#include <algorithm>

namespace chervilbend::fleet
{

namespace
{

/// An entry that an engine writes this long after its last command reflects the effects of that command.
constexpr base::milliseconds registrationLag{500};

/// An engine that could not be reached is tried again after this time; its registration may end earlier.
constexpr base::milliseconds failureBackoff{1'000};

bool holds(const std::vector<resident_model> &models, const std::string &model, const std::string &adapter)
{
    return std::any_of(models.begin(), models.end(), [&](const resident_model &each) {
        return each.name == model && (adapter.empty() || std::find(each.adapters.begin(), each.adapters.end(), adapter) != each.adapters.end());
    });
}

/// The engine is asked for its count before it gets another command.
void forgetCommandCount(engine_record &engine)
{
    engine.commands.reset();
    engine.observedCommands.reset();
}

/// Whether the inventory has an item as loaded that is not among the models.
bool holdsMoreThan(const engine_record &engine, const std::vector<resident_model> &models)
{
    for (const resident_model &held : loadedModels(engine)) {
        const bool isComplete =
            std::all_of(held.adapters.begin(), held.adapters.end(), [&](const std::string &adapter) { return holds(models, held.name, adapter); });
        if (!holds(models, held.name, {}) || !isComplete) {
            return true;
        }
    }
    return false;
}

/// Enters an adapter that the engine has reported. If its load is still queued here, it is already resident, so that cancelling the load must
/// not free its memory.
bool markLoaded(tracked_model &model, const std::string &adapter)
{
    const auto [adapterEntry, isNew] = model.adapters.try_emplace(adapter, tracked_adapter{item_state::loaded, base::time_point{}});
    const bool wasLoading = adapterEntry->second.state == item_state::loading;
    if (wasLoading) {
        adapterEntry->second.state = item_state::loaded;
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
        // The size of a model that is no longer declared is unknown, so it counts as the whole memory.
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
    const auto adapterEntry = held->second.adapters.find(adapter);
    return adapterEntry == held->second.adapters.end() ? std::nullopt : std::optional(adapterEntry->second.state);
}

std::vector<resident_model> loadedModels(const engine_record &engine)
{
    std::vector<resident_model> loaded;
    for (const auto &[name, model] : engine.models) {
        if (model.state != item_state::loaded) {
            continue;
        }
        resident_model &reported = loaded.emplace_back();
        reported.name = name;
        for (const auto &[adapter, held] : model.adapters) {
            if (held.state == item_state::loaded) {
                reported.adapters.push_back(adapter);
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

void engine_inventory::markChanged(engine_record &engine)
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
            tracked_model &held = engine.models[model.name];
            held.state = item_state::loaded;
            held.since = known.readAt;
            for (const std::string &adapter : model.adapters) {
                held.adapters[adapter].state = item_state::loaded;
            }
        }
        engine.entry = entry;
        markChanged(engine);
        return;
    }
    const bool drainingChanged = entry.draining != engine.entry.draining;
    engine.entry = entry;
    if (drainingChanged) {
        markChanged(engine);
    }
    // An entry that was written long enough after the last command shows what the engine holds. An entry may be old when it is read.
    if (engine.pending == 0 && known.writtenAfter - std::max(engine.lastCommand, engine.lastStatus) >= registrationLag) {
        mergeItems(engine, entry.models, {}, false);
        if (holdsMoreThan(engine, entry.models)) {
            // A slow store accepts an entry long after the engine wrote it. Only a status shows that an item is gone.
            forgetCommandCount(engine);
        }
        return;
    }
    // A finished model load is visible in the entry at once.
    for (auto &[name, model] : engine.models) {
        if (model.state == item_state::loading && holds(entry.models, name, {})) {
            model.state = item_state::loaded;
            model.since = base::clock::now();
            markChanged(engine);
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
    markChanged(*engine);
    return true;
}

void engine_inventory::finishLoad(const base::endpoint_id &id, const std::string &model, const std::string &adapter)
{
    engine_record *const engine = get(id);
    const auto held = engine ? engine->models.find(model) : std::map<std::string, tracked_model>::iterator();
    if (!engine || held == engine->models.end()) {
        return;
    }
    if (adapter.empty()) {
        held->second.state = item_state::loaded;
        held->second.since = base::clock::now();
    } else if (const auto adapterEntry = held->second.adapters.find(adapter); adapterEntry != held->second.adapters.end()) {
        adapterEntry->second.state = item_state::loaded;
    }
    markChanged(*engine);
}

void engine_inventory::cancelLoad(const base::endpoint_id &id, const std::string &model, const std::string &adapter)
{
    engine_record *const engine = get(id);
    // An item that the engine has reported in the meantime was loaded by another command, and stays.
    if (engine && stateOf(*engine, model, adapter) == item_state::loading) {
        finishUnload(id, model, adapter);
    }
}

bool engine_inventory::startUnload(const base::endpoint_id &id, const std::string &model, const std::string &adapter)
{
    engine_record *const engine = get(id);
    const auto held = engine ? engine->models.find(model) : std::map<std::string, tracked_model>::iterator();
    if (!engine || held == engine->models.end()) {
        return false;
    }
    item_state *state = &held->second.state;
    if (!adapter.empty()) {
        const auto adapterEntry = held->second.adapters.find(adapter);
        if (adapterEntry == held->second.adapters.end()) {
            return false;
        }
        state = &adapterEntry->second.state;
    }
    if (*state != item_state::loaded) {
        return false;
    }
    *state = item_state::unloading;
    held->second.since = adapter.empty() ? base::clock::now() : held->second.since;
    markChanged(*engine);
    return true;
}

void engine_inventory::finishUnload(const base::endpoint_id &id, const std::string &model, const std::string &adapter)
{
    engine_record *const engine = get(id);
    const auto held = engine ? engine->models.find(model) : std::map<std::string, tracked_model>::iterator();
    if (!engine || held == engine->models.end()) {
        return;
    }
    if (adapter.empty()) {
        engine->models.erase(held);
    } else {
        held->second.adapters.erase(adapter);
    }
    markChanged(*engine);
}

void engine_inventory::cancelUnload(const base::endpoint_id &id, const std::string &model, const std::string &adapter)
{
    finishLoad(id, model, adapter);
}

void engine_inventory::recordLostAnswer(const base::endpoint_id &id)
{
    if (engine_record *const engine = get(id)) {
        engine->hasLostAnswer = true;
    }
}

void engine_inventory::recordFailure(const base::endpoint_id &id)
{
    if (engine_record *const engine = get(id)) {
        engine->avoidUntil = base::clock::now() + failureBackoff;
    }
}

void engine_inventory::recordCommand(const base::endpoint_id &id, bool accepted)
{
    if (engine_record *const engine = get(id)) {
        if (accepted) {
            engine->lastAccepted = base::clock::now();
        }
        if (engine->commands && accepted) {
            ++*engine->commands;
        }
        engine->lastCommand = base::clock::now();
        engine->hasLostAnswer = false;
    }
}

void engine_inventory::forgetLostAnswer(const base::endpoint_id &id)
{
    engine_record *const engine = get(id);
    if (engine && engine->hasLostAnswer) {
        engine->hasLostAnswer = false;
        forgetCommandCount(*engine);
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
        // The status may lack what was loaded within statusLag, and the effect of a command that is in progress.
        const bool isCurrent = !status.busy && base::clock::now() - engine->lastAccepted >= statusLag;
        mergeItems(*engine, status.models, status.loadingAdapters, isCurrent);
        updateCommandCount(*engine, status);
        engine->lastStatus = base::clock::now();
    }
    return engine && !isOld;
}

void engine_inventory::updateCommandCount(engine_record &engine, const engine_status &status)
{
    const base::time_point now = base::clock::now();
    if (status.busy) {
        forgetCommandCount(engine);
    } else if (engine.commands == status.commands) {
        return;
    } else if (engine.observedCommands && engine.observedCommands->first == status.commands && now - engine.observedCommands->second >= statusLag) {
        engine.commands = status.commands;
        engine.observedCommands.reset();
    } else {
        engine.commands.reset();
        if (!engine.observedCommands || engine.observedCommands->first != status.commands) {
            engine.observedCommands = {status.commands, now};
        }
    }
}

void engine_inventory::mergeItems(engine_record &engine, const std::vector<resident_model> &models, const std::set<std::string> &loadingAdapters, bool mayErase)
{
    bool changed = false;
    // Items that the engine has and the inventory lacks.
    for (const resident_model &reported : models) {
        auto [model, isNew] = engine.models.try_emplace(reported.name, tracked_model{item_state::loaded, base::clock::now(), {}});
        changed = changed || isNew;
        for (const std::string &adapter : reported.adapters) {
            changed = markLoaded(model->second, adapter) || changed;
        }
    }
    for (const std::string &item : loadingAdapters) {
        const std::size_t slash = item.find('/');
        const auto model = engine.models.find(item.substr(0, slash));
        if (slash != std::string::npos && model != engine.models.end()) {
            changed = markLoaded(model->second, item.substr(slash + 1)) || changed;
        }
    }
    // Items that the inventory has as loaded and the engine lacks.
    for (auto model = engine.models.begin(); model != engine.models.end();) {
        const bool isPresent = holds(models, model->first, {});
        const bool isSettled = mayErase && base::clock::now() - model->second.since >= statusLag;
        if (!isPresent && isSettled && model->second.state != item_state::loading) {
            model = engine.models.erase(model);
            changed = true;
            continue;
        }
        if (isPresent && model->second.state == item_state::loading) {
            model->second.state = item_state::loaded;
            model->second.since = base::clock::now();
            changed = true;
        }
        const auto isGone = [&](const auto &adapter) {
            return mayErase && adapter.second.state != item_state::loading && !holds(models, model->first, adapter.first)
                && !loadingAdapters.contains(model->first + '/' + adapter.first);
        };
        changed = std::erase_if(model->second.adapters, isGone) > 0 || changed;
        ++model;
    }
    if (changed) {
        markChanged(engine);
    }
}

void engine_inventory::recordUse(const base::endpoint_id &id, const std::string &model, const std::string &adapter, base::time_point when)
{
    engine_record *const engine = get(id);
    const auto held = engine ? engine->models.find(model) : std::map<std::string, tracked_model>::iterator();
    if (!engine || held == engine->models.end()) {
        return;
    }
    const auto adapterEntry = held->second.adapters.find(adapter);
    if (adapterEntry != held->second.adapters.end()) {
        adapterEntry->second.lastUsed = std::max(adapterEntry->second.lastUsed, when);
    }
}

} // namespace chervilbend::fleet
