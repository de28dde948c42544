#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/external/engine_command.hpp>
#include <chervilbend/external/engine_report.hpp>
#include <chervilbend/fakes/engine_options.hpp>
#include <chervilbend/fakes/lagged_history.hpp>
#include <chervilbend/fakes/weight_store_model.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace chervilbend::fakes
{

/// The memory contents of an engine. Does not check whether items fit, but records the highest memory use.
///
/// Does no I/O; time comes from base::clock. Changes that are due (completed loads and unloads, delayed commands) are applied by the
/// next call, ordered by due time.
class engine_model
{
public:
    /// Without a store, models take 2 s and adapters 6 ms to load.
    explicit engine_model(engine_options options, std::shared_ptr<weight_store_model> store = nullptr);

    /// Commands.

    /// Applies a command, or refuses it when its fencing token is too old. An item uses memory from the start of its load to the end of its
    /// unload.
    external::command_status apply(const external::engine_command &command);
    /// Applies @p command when @p delay has passed.
    void applyLater(const external::engine_command &command, base::milliseconds delay);
    /// Sets the remaining time of the load of @p item. No effect when the item is not loading.
    void setLoadTime(const base::item_id &item, base::milliseconds duration);
    /// Sets the numbers of running and queued requests for the report.
    void setLoad(std::int64_t running, std::int64_t queued);
    /// Simulates a crash of the process: all items and the fencing token are lost, and the engine is unreachable until start().
    void crash();
    /// Starts the process again, with a higher incarnation.
    void start();
    void restart();
    void setReportLag(base::milliseconds lag);

    /// Queries.

    /// The state of the engine as it was before the report lag. Empty while the engine is not running.
    external::engine_report report();
    bool isRunning() const;
    bool isLoaded(const base::item_id &item);
    std::vector<base::item_id> loadedItems();
    const engine_options &options() const;
    base::byte_count used();
    /// The highest memory use since construction, across restarts.
    base::byte_count highestUsed();
    /// Whether memory use ever exceeded the capacity.
    bool wasOvercommitted();

private:
    enum class stage {
        loading,
        loaded,
        unloading,
    };

    struct resident_item {
        base::byte_count bytes;
        stage current = stage::loading;
        /// End of the load or unload.
        base::time_point stageEnd{};
    };

    void applyDueChanges();
    bool applyNextChange(base::time_point now);
    external::command_status applyAt(const external::engine_command &command, base::time_point when);
    void load(const external::engine_command &command, base::time_point when);
    void unload(const base::item_id &item, base::time_point when);
    base::milliseconds loadTime(const base::item_id &item);
    void recordChange(base::time_point when);

    engine_options m_options;
    std::shared_ptr<weight_store_model> m_store;
    bool m_running = true;
    base::log_offset m_highestToken;
    std::int64_t m_runningRequests = 0;
    std::int64_t m_queuedRequests = 0;
    std::map<base::item_id, resident_item> m_items;
    std::multimap<base::time_point, external::engine_command> m_delayedCommands;
    base::byte_count m_used;
    base::byte_count m_highestUsed;
    lagged_history<external::engine_report> m_reports;
};

} // namespace chervilbend::fakes
