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

/// Where an item stands at an engine. Whatever is not gone counts in the engine's memory.
enum class item_state {
    /// Commanded, or to be commanded next; it may be there at any moment.
    loading,
    loaded,
    /// To be unloaded; it may still be there.
    unloading,
};

struct held_adapter {
    item_state state = item_state::loading;
    base::time_point lastUsed;
};

struct held_model {
    item_state state = item_state::loading;
    /// When it came into this state.
    base::time_point since;
    std::map<std::string, held_adapter> adapters;
};

/// An engine and all that counts in its memory.
struct engine_record {
    endpoint_entry entry;
    std::map<std::string, held_model> models;
    /// Commands that it has accepted since its start; no value while it was not asked.
    std::optional<std::int64_t> commands;
    /// The count that an idle engine showed while commands was not known, and when; it counts once it has stood for statusLag, because a status
    /// may show the end of a command before its effect.
    std::optional<std::pair<std::int64_t, base::time_point>> shown;
    /// When the last command ended, accepted or not, and when the last one was accepted.
    base::time_point lastCommand;
    base::time_point lastAccepted;
    /// The answer to the last command was lost.
    bool hasLost = false;
    /// When its own word was last taken over.
    base::time_point lastStatus;
    /// It could not be reached, or is another process: nothing is planned for it until then.
    base::time_point avoidUntil;
    /// Commands that are queued or under way.
    int pending = 0;
    /// Grows with each change, over all engines.
    std::int64_t version = 0;

    int adapterCount() const;
    double usedMb(const engine_rule &rule) const;
};

/// An engine's word on itself is some hundred ms old; after this time it shows every command accepted before.
inline constexpr base::milliseconds statusLag{400};

/// What every engine holds and will hold, as its commander knows it. An item is entered before it is commanded and leaves only when the engine
/// is known not to have it, so that no order of lost, late and repeated commands can exceed an engine's memory or adapter slots.
class engine_inventory
{
public:
    /// Commands.

    /// Forgets everything, for a new holder of the lease.
    void clear();
    /// Takes over an engine's registration: all of it for a new process, otherwise what it shows of finished commands.
    void sync(const endpoint_registry::known_endpoint &known);
    void remove(const base::endpoint_id &engine);

    /// Enters an item that is to be loaded. False when the engine has no room for it or has it already.
    bool startLoad(const base::endpoint_id &engine, const engine_rule &rule, const std::string &model, const std::string &adapter);
    void finishLoad(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);
    /// The load certainly does not take place.
    void cancelLoad(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);
    /// Marks an item that is to be unloaded. False when it is not loaded.
    bool startUnload(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);
    void finishUnload(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);
    void cancelUnload(const base::endpoint_id &engine, const std::string &model, const std::string &adapter);

    /// No answer came to a command.
    void noteLost(const base::endpoint_id &engine);
    /// A command did not reach the engine.
    void noteFailure(const base::endpoint_id &engine);
    void noteCommand(const base::endpoint_id &engine, bool accepted);
    /// The engine's own word, which goes before what was assumed. Items of commands that wait are kept. While a command that this ledger does not
    /// know of is under way, the count of commands stays unknown: what that command loads does not show yet.
    /// False when the status may be older than the last command, and was passed over.
    bool reconcile(const base::endpoint_id &engine, const engine_status &status);
    void noteUse(const base::endpoint_id &engine, const std::string &model, const std::string &adapter, base::time_point when);
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
    /// Whether all that counts at the engine fits into its memory and adapter slots.
    bool fits(const base::endpoint_id &engine, const engine_rule &rule) const;

private:
    engine_record *get(const base::endpoint_id &engine);
    void touch(engine_record &engine);
    void settle(engine_record &engine, const engine_status &status);
    void take(engine_record &engine, const std::vector<resident_model> &models, const std::set<std::string> &loadingAdapters, bool mayErase);

    std::map<base::endpoint_id, engine_record> m_engines;
    std::int64_t m_version = 0;
};

/// Where an item stands at an engine; no value when it is not there.
std::optional<item_state> stateOf(const engine_record &engine, const std::string &model, const std::string &adapter);

/// The loaded items of an engine, as requests may rely on them.
std::vector<resident_model> loadedModels(const engine_record &engine);

} // namespace chervilbend::fleet
