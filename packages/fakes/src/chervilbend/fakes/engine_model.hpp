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

/// What an engine holds in memory. It never checks whether items fit, but counts how much was used at most.
///
/// Does no I/O; time comes from base::clock. What has come due by now (ends of loads and unloads, late commands) takes effect at the
/// next call, in the order of the due times.
class engine_model
{
public:
    /// Without a store, models take 2 s and adapters 6 ms to load.
    explicit engine_model(engine_options options, std::shared_ptr<weight_store_model> store = nullptr);

    /// Commands.

    /// Takes a command: accepted, or refused for its fencing token. Memory counts from here to the end of an unload.
    external::command_status apply(const external::engine_command &command);
    /// Applies @p command when @p delay has passed.
    void applyLater(const external::engine_command &command, base::milliseconds delay);
    /// Lets the load of @p item that is in transit end after @p duration, counted from now. No effect when none is.
    void setLoadTime(const base::item_id &item, base::milliseconds duration);
    /// Requests in work and waiting, for the report.
    void setLoad(std::int64_t running, std::int64_t queued);
    /// Ends the process: nothing is resident, tokens are forgotten, and until start() the engine is not reachable.
    void crash();
    /// Starts the process again, with a greater incarnation.
    void start();
    void restart();
    void setReportLag(base::milliseconds lag);

    /// Queries.

    /// The report of a lag ago. Only of use while the engine is running.
    external::engine_report report();
    bool isRunning() const;
    bool isLoaded(const base::item_id &item);
    std::vector<base::item_id> loadedItems();
    const engine_options &options() const;
    base::byte_count used();
    /// Most memory ever in use.
    base::byte_count highestUsed();
    /// Whether more than the capacity was ever in use.
    bool wasOvercommitted();

private:
    enum class stage {
        loading,
        loaded,
        unloading,
    };

    struct held_item {
        base::byte_count bytes;
        stage now = stage::loading;
        /// End of the load or unload.
        base::time_point ends{};
    };

    void settle();
    bool settleNext(base::time_point now);
    external::command_status applyAt(const external::engine_command &command, base::time_point when);
    void load(const external::engine_command &command, base::time_point when);
    void unload(const base::item_id &item, base::time_point when);
    base::milliseconds loadTime(const base::item_id &item);
    void recordChange(base::time_point when);

    engine_options m_options;
    std::shared_ptr<weight_store_model> m_store;
    bool m_running = true;
    base::log_offset m_token;
    std::int64_t m_runningRequests = 0;
    std::int64_t m_queuedRequests = 0;
    std::map<base::item_id, held_item> m_items;
    std::multimap<base::time_point, external::engine_command> m_late;
    base::byte_count m_used;
    base::byte_count m_highestUsed;
    lagged_history<external::engine_report> m_reports;
};

} // namespace chervilbend::fakes
