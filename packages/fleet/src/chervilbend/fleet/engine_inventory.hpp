#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/fleet/endpoint_entry.hpp>
#include <chervilbend/fleet/endpoint_registry.hpp>
#include <chervilbend/fleet/engine_commands.hpp>
#include <chervilbend/fleet/traffic_configuration.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chervilbend::fleet
{

/// State of a model or adapter at an engine. An item in any of these states counts towards the engine's memory.
enum class item_state {
    /// The load was commanded or is queued; the item may become resident at any time.
    loading,
    loaded,
    /// The unload was commanded or is queued; the item may still be resident.
    unloading,
};

struct tracked_adapter {
    item_state state = item_state::loading;
    base::time_point lastUsed;
};

struct tracked_model {
    item_state state = item_state::loading;
    /// When it entered this state.
    base::time_point since;
    std::map<std::string, tracked_adapter> adapters;
};

/// An engine and all items that count towards its memory.
struct engine_record {
    endpoint_entry entry;
    std::map<std::string, tracked_model> models;
    /// Number of commands accepted since its start; no value while it is not known.
    std::optional<std::int64_t> commands;
    /// The command count that an idle engine reported while `commands` was not known, and when. It is adopted once it has been unchanged for
    /// statusLag, because a status may show the end of a command before its effect.
    std::optional<std::pair<std::int64_t, base::time_point>> observedCommands;
    /// When the last command was answered, accepted or not, and when the last one was accepted.
    base::time_point lastCommand;
    base::time_point lastAccepted;
    /// The answer to the last command was lost.
    bool hasLostAnswer = false;
    /// When its last status was applied.
    base::time_point lastStatus;
    /// The engine was unreachable or refused a command: nothing is planned for it until then.
    base::time_point avoidUntil;
    /// Number of commands that are queued or in progress.
    int pending = 0;
    /// Version of the last change of this engine; versions increase across all engines.
    std::int64_t version = 0;

    int adapterCount() const;
    double usedMb(const engine_rule &rule) const;
};

/// An engine's status is a few hundred ms old. After this time it reflects every command that was accepted before.
inline constexpr base::milliseconds statusLag{400};

/// Tracks what every engine holds and will hold, as known to the holder of the command lease. An item is added before its load is commanded and
/// removed only when the engine is known not to have it, so that no sequence of lost, late and repeated commands can exceed an engine's memory
/// or adapter slots.
class engine_inventory
{
public:
    /// Commands.

    /// Discards everything, when the holder of the lease changes.
    void clear();
    /// Applies an engine's registration: all of it for a new process, otherwise what it shows of finished commands.
    void sync(const endpoint_registry::known_endpoint &known);
    void remove(const base::endpoint_id &engine);

    /// Adds an item that is to be loaded. False when the engine has no room for it or already has it.
    bool startLoad(const base::endpoint_id &engine, const engine_rule &rule, const std::string &model, const std::string &adapter);
    void finishLoad(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);
    /// The load will certainly not take place.
    void cancelLoad(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);
    /// Marks an item that is to be unloaded. False when it is not loaded.
    bool startUnload(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);
    void finishUnload(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);
    void cancelUnload(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);

    /// A command was not answered.
    void recordLostAnswer(const base::endpoint_id &engine);
    /// A command did not reach the engine, or was refused permanently; the engine is avoided for a while.
    void recordFailure(const base::endpoint_id &engine);
    void recordCommand(const base::endpoint_id &engine, bool accepted);
    /// The effect of a command whose answer was lost has been seen; whether the engine counted it is asked before the next one.
    void forgetLostAnswer(const base::endpoint_id &engine);
    /// Applies the engine's status, which overrides what was assumed. Items of queued commands are kept. While the engine executes a command
    /// that this inventory does not know of, the command count stays unknown, because the status does not yet show what that command loads.
    /// False when the status may be older than the last command and was ignored.
    bool reconcile(const base::endpoint_id &engine, const engine_status &status);
    void recordUse(const base::endpoint_id &engine, const std::string &model, const std::string &adapter, base::time_point when);
    void addPending(const base::endpoint_id &engine, int change);

    /// Queries.

    const std::map<base::endpoint_id, engine_record> &engines() const
    {
        return m_engines;
    }
    const engine_record *find(const base::endpoint_id &engine) const;
    std::int64_t version() const
    {
        return m_version;
    }
    /// Whether all items of the engine fit into its memory and adapter slots.
    bool fits(const base::endpoint_id &engine, const engine_rule &rule) const;

private:
    engine_record *get(const base::endpoint_id &engine);
    void markChanged(engine_record &engine);
    void updateCommandCount(engine_record &engine, const engine_status &status);
    void mergeItems(engine_record &engine, const std::vector<resident_model> &models, const std::set<std::string> &loadingAdapters, bool mayErase);

    std::map<base::endpoint_id, engine_record> m_engines;
    std::int64_t m_version = 0;
};

/// State of an item at an engine; no value when the engine does not have it.
std::optional<item_state> stateOf(const engine_record &engine, const std::string &model, const std::string &adapter);

/// The loaded items of an engine, which requests may rely on.
std::vector<resident_model> loadedModels(const engine_record &engine);

} // namespace chervilbend::fleet
