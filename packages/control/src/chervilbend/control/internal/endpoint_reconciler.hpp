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

/// What an owner does about one item.
struct endpoint_step {
    enum class kind {
        sendLoad,
        sendUnload,
        appendLoaded,
        appendLost,
        appendReleased,
        /// Older commands to an engine that checks fencing tokens must be made void by a greater one.
        renewToken,
    };

    kind what = kind::sendLoad;
    base::item_id item;
    base::byte_count bytes;
    std::string reason;
};

/// Compares what an engine reports with what the fold shows for it, and tells the owner's next steps. Does no I/O.
class endpoint_reconciler
{
public:
    /// The ledger must outlive the reconciler.
    endpoint_reconciler(base::endpoint_id endpoint, const load_command_tracker &ledger);

    /// The steps to take now, in this order. @p moment is the earliest time that the report may describe. @p heldSince is when this node
    /// became the owner.
    std::vector<endpoint_step>
        steps(const state::endpoint_view &view, const external::engine_report &report, base::time_point moment, base::time_point heldSince);

private:
    /// What is known of an item in its current state.
    struct memory {
        base::log_offset since;
        /// When this node first saw the item in this state.
        base::time_point seenAt;
        base::time_point askedAt = base::time_point::min();
    };

    void addStrays(const state::endpoint_view &view);
    void forAssigned(const base::item_id &item, const state::residency_view &view, memory &known);
    void forLoaded(const base::item_id &item, const state::residency_view &view, memory &known);
    void forDropping(const base::item_id &item, const state::residency_view &view, memory &known, const state::endpoint_view &endpoint);
    void load(const base::item_id &item, const state::residency_view &view, memory &known, const char *reason);
    /// Whether another attempt is due; counts it as made.
    bool retry(memory &known);
    bool isReported(const base::item_id &item) const;
    bool isReportedLoaded(const base::item_id &item) const;

    base::endpoint_id m_endpoint;
    const load_command_tracker &m_ledger;
    std::map<base::item_id, memory> m_memory;

    /// Of the call under way.
    std::map<base::item_id, external::resident_item> m_reported;
    base::time_point m_moment;
    base::time_point m_heldSince;
    base::byte_count m_freeInEngine;
    std::vector<endpoint_step> m_steps;
};

} // namespace chervilbend::control
