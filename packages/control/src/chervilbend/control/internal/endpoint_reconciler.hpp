#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/control/load_command_tracker.hpp>
#include <chervilbend/external/engine_command.hpp>
#include <chervilbend/external/engine_report.hpp>
#include <chervilbend/state/views.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace chervilbend::control
{

/// An action of the endpoint owner on one item.
struct endpoint_step {
    enum class kind {
        sendLoad,
        sendUnload,
        appendLoaded,
        appendLost,
        appendReleased,
        /// Obtain a greater fencing token, with which the engine rejects all earlier commands.
        renewToken,
    };

    kind action = kind::sendLoad;
    base::item_id item;
    base::byte_count bytes;
    std::string reason;
};

/// Compares the report of an engine with the replicated state and computes the next steps of its owner. Performs no I/O.
class endpoint_reconciler
{
public:
    /// @p loadCommands must outlive the reconciler.
    endpoint_reconciler(base::endpoint_id endpoint, const load_command_tracker &loadCommands);

    /// Returns the steps to execute now, in order. @p reportTime is the earliest time that the report may describe. @p heldSince is when this
    /// node became the owner.
    std::vector<endpoint_step>
        steps(const state::endpoint_view &view, const external::engine_report &report, base::time_point reportTime, base::time_point heldSince);

private:
    /// Bookkeeping for an item in its current residency state.
    struct item_history {
        /// Offset of the record that put the item into this state.
        base::log_offset since;
        /// When this node first observed the item in this state.
        base::time_point firstSeenAt;
        base::time_point lastAttemptAt = base::time_point::min();
    };

    void unloadUnassigned(const state::endpoint_view &view);
    void reconcileAssigned(const base::item_id &item, const state::residency_view &view, item_history &history);
    void reconcileLoaded(const base::item_id &item, const state::residency_view &view, item_history &history);
    void reconcileDropping(const base::item_id &item, const state::residency_view &view, item_history &history, const state::endpoint_view &endpoint);
    void addLoad(const base::item_id &item, const state::residency_view &view, item_history &history, const char *reason);
    /// Returns whether another attempt is due, and if so records its time.
    bool beginAttempt(item_history &history);
    bool isReported(const base::item_id &item) const;
    bool isReportedLoaded(const base::item_id &item) const;

    base::endpoint_id m_endpoint;
    const load_command_tracker &m_loadCommands;
    std::map<base::item_id, item_history> m_history;

    /// State of the current call of steps().
    std::map<base::item_id, external::resident_item> m_reported;
    base::time_point m_reportTime;
    base::time_point m_heldSince;
    base::byte_count m_freeEngineMemory;
    std::vector<endpoint_step> m_steps;
};

} // namespace chervilbend::control
