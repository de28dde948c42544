#include <chervilbend/control/internal/endpoint_reconciler.hpp>

#include <chervilbend/config/model_declaration.hpp>

#include <utility>

namespace chervilbend::control
{

namespace
{

/// Minimum time between two attempts at the same command or entry. Longer than the usual lag of reports.
constexpr base::milliseconds retryInterval{3'000};

} // namespace

endpoint_reconciler::endpoint_reconciler(base::endpoint_id endpoint, const load_command_tracker &loadCommands)
    : m_endpoint(std::move(endpoint))
    , m_loadCommands(loadCommands)
{
}

std::vector<endpoint_step>
    endpoint_reconciler::steps(const state::endpoint_view &view, const external::engine_report &report, base::time_point reportTime, base::time_point heldSince)
{
    const base::time_point now = base::clock::now();
    m_steps.clear();
    m_reported.clear();
    m_reportTime = reportTime;
    m_heldSince = heldSince;
    m_freeEngineMemory = view.memory;
    for (const external::resident_item &item : report.items) {
        m_reported[item.item] = item;
        m_freeEngineMemory -= item.bytes;
    }
    std::erase_if(m_history, [&view](const auto &entry) { return !view.items.contains(entry.first); });
    for (const auto &[item, resident] : view.items) {
        item_history &history = m_history[item];
        if (history.since != resident.since) {
            history = {resident.since, now, base::time_point::min()};
        }
        // A load in flight will use its memory once it is delivered.
        if (!isReported(item) && m_loadCommands.mayArrive(m_endpoint, item)) {
            m_freeEngineMemory -= resident.bytes;
        }
    }
    unloadUnassigned(view);
    for (const auto &[item, resident] : view.items) {
        item_history &history = m_history[item];
        if (resident.state == state::residency::dropping) {
            reconcileDropping(item, resident, history, view);
        } else if (resident.state == state::residency::assigned) {
            reconcileAssigned(item, resident, history);
        } else {
            reconcileLoaded(item, resident, history);
        }
    }
    return std::move(m_steps);
}

void endpoint_reconciler::unloadUnassigned(const state::endpoint_view &view)
{
    for (const auto &[item, resident] : m_reported) {
        if (!view.items.contains(item)) {
            m_steps.push_back({endpoint_step::kind::sendUnload, item, resident.bytes, "resident but not assigned"});
        }
    }
}

void endpoint_reconciler::reconcileAssigned(const base::item_id &item, const state::residency_view &view, item_history &history)
{
    if (isReportedLoaded(item)) {
        // An older report may show the item from an earlier assignment.
        if (m_reportTime >= history.firstSeenAt && beginAttempt(history)) {
            m_steps.push_back({endpoint_step::kind::appendLoaded, item, view.bytes, "reported by the engine"});
        }
        return;
    }
    if (!isReported(item)) {
        addLoad(item, view, history, "assigned but not resident");
    }
}

void endpoint_reconciler::reconcileLoaded(const base::item_id &item, const state::residency_view &view, item_history &history)
{
    if (isReported(item) || m_reportTime < history.firstSeenAt) {
        return;
    }
    if (beginAttempt(history)) {
        m_steps.push_back({endpoint_step::kind::appendLost, item, view.bytes, "no longer resident in the engine"});
        history.lastAttemptAt = base::time_point::min();
        addLoad(item, view, history, "lost by the engine");
    }
}

void endpoint_reconciler::addLoad(const base::item_id &item, const state::residency_view &view, item_history &history, const char *reason)
{
    const base::item_id model = config::baseItemOf(item);
    const bool isBaseLoaded = model == item || isReportedLoaded(model);
    // The bytes of a load in flight are already subtracted from the free memory, which unassigned items can make negative.
    const bool isInFlight = m_loadCommands.mayArrive(m_endpoint, item);
    const bool fits = m_freeEngineMemory >= (isInFlight ? base::byte_count(0) : view.bytes);
    if (!isBaseLoaded || !fits || m_reportTime < history.firstSeenAt || !beginAttempt(history)) {
        return;
    }
    m_freeEngineMemory -= isInFlight ? base::byte_count(0) : view.bytes;
    m_steps.push_back({endpoint_step::kind::sendLoad, item, view.bytes, reason});
}

void endpoint_reconciler::reconcileDropping(const base::item_id &item,
                                            const state::residency_view &view,
                                            item_history &history,
                                            const state::endpoint_view &endpoint)
{
    if (isReported(item)) {
        if (beginAttempt(history)) {
            m_steps.push_back({endpoint_step::kind::sendUnload, item, view.bytes, "marked for removal"});
        }
        return;
    }
    // That the item is absent from the report is not sufficient: a load still in transit would bring it back after its memory was assigned
    // to another item. This also applies to engines that check fencing tokens, since a restarted one has lost its token and accepts a late load.
    const bool formerOwnersMayLoad = base::clock::now() - m_heldSince < load_command_tracker::answeredLifetime;
    if (m_reportTime < history.firstSeenAt || !view.quarantine.empty() || formerOwnersMayLoad) {
        return;
    }
    if (m_loadCommands.mayArrive(m_endpoint, item)) {
        if (endpoint.checksFencing && m_loadCommands.isUnanswered(m_endpoint, item) && beginAttempt(history)) {
            m_steps.push_back({endpoint_step::kind::renewToken, item, view.bytes, "a load command was not answered"});
        }
        return;
    }
    if (beginAttempt(history)) {
        m_steps.push_back({endpoint_step::kind::appendReleased, item, view.bytes, "no longer resident in the engine"});
    }
}

bool endpoint_reconciler::beginAttempt(item_history &history)
{
    const base::time_point now = base::clock::now();
    if (history.lastAttemptAt != base::time_point::min() && now - history.lastAttemptAt < retryInterval) {
        return false;
    }
    history.lastAttemptAt = now;
    return true;
}

bool endpoint_reconciler::isReported(const base::item_id &item) const
{
    return m_reported.contains(item);
}

bool endpoint_reconciler::isReportedLoaded(const base::item_id &item) const
{
    const auto reported = m_reported.find(item);
    return reported != m_reported.end() && reported->second.loaded;
}

} // namespace chervilbend::control
