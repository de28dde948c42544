#include <chervilbend/control/internal/endpoint_reconciler.hpp>

#include <chervilbend/config/model_declaration.hpp>

#include <utility>

namespace chervilbend::control
{

namespace
{

/// Between two attempts at the same command or entry: longer than reports usually lag.
constexpr base::milliseconds retryInterval{3'000};

} // namespace

endpoint_reconciler::endpoint_reconciler(base::endpoint_id endpoint, const load_command_tracker &ledger)
    : m_endpoint(std::move(endpoint))
    , m_ledger(ledger)
{
}

std::vector<endpoint_step>
    endpoint_reconciler::steps(const state::endpoint_view &view, const external::engine_report &report, base::time_point moment, base::time_point heldSince)
{
    const base::time_point now = base::clock::now();
    m_steps.clear();
    m_reported.clear();
    m_moment = moment;
    m_heldSince = heldSince;
    m_freeInEngine = view.memory;
    for (const external::resident_item &item : report.items) {
        m_reported[item.item] = item;
        m_freeInEngine -= item.bytes;
    }
    std::erase_if(m_memory, [&view](const auto &entry) { return !view.items.contains(entry.first); });
    for (const auto &[item, resident] : view.items) {
        memory &known = m_memory[item];
        if (known.since != resident.since) {
            known = {resident.since, now, base::time_point::min()};
        }
        // A load under way takes its memory when it arrives.
        if (!isReported(item) && m_ledger.mayArrive(m_endpoint, item)) {
            m_freeInEngine -= resident.bytes;
        }
    }
    addStrays(view);
    for (const auto &[item, resident] : view.items) {
        memory &known = m_memory[item];
        if (resident.state == state::residency::dropping) {
            forDropping(item, resident, known, view);
        } else if (resident.state == state::residency::assigned) {
            forAssigned(item, resident, known);
        } else {
            forLoaded(item, resident, known);
        }
    }
    return std::move(m_steps);
}

void endpoint_reconciler::addStrays(const state::endpoint_view &view)
{
    for (const auto &[item, resident] : m_reported) {
        if (!view.items.contains(item)) {
            m_steps.push_back({endpoint_step::kind::sendUnload, item, resident.bytes, "it is resident but not assigned"});
        }
    }
}

void endpoint_reconciler::forAssigned(const base::item_id &item, const state::residency_view &view, memory &known)
{
    if (isReportedLoaded(item)) {
        // An older report may show an earlier stay of the item.
        if (m_moment >= known.seenAt && retry(known)) {
            m_steps.push_back({endpoint_step::kind::appendLoaded, item, view.bytes, "the engine reports it"});
        }
        return;
    }
    if (!isReported(item)) {
        load(item, view, known, "it is assigned");
    }
}

void endpoint_reconciler::forLoaded(const base::item_id &item, const state::residency_view &view, memory &known)
{
    if (isReported(item) || m_moment < known.seenAt) {
        return;
    }
    if (retry(known)) {
        m_steps.push_back({endpoint_step::kind::appendLost, item, view.bytes, "the engine no longer has it"});
        known.askedAt = base::time_point::min();
        load(item, view, known, "the engine lost it");
    }
}

void endpoint_reconciler::load(const base::item_id &item, const state::residency_view &view, memory &known, const char *reason)
{
    const base::item_id model = config::baseItemOf(item);
    const bool baseIsThere = model == item || isReportedLoaded(model);
    // Bytes of a load under way are already subtracted from what is free; strays may leave less than nothing.
    const bool isUnderWay = m_ledger.mayArrive(m_endpoint, item);
    const bool fits = m_freeInEngine >= (isUnderWay ? base::byte_count(0) : view.bytes);
    if (!baseIsThere || !fits || m_moment < known.seenAt || !retry(known)) {
        return;
    }
    m_freeInEngine -= isUnderWay ? base::byte_count(0) : view.bytes;
    m_steps.push_back({endpoint_step::kind::sendLoad, item, view.bytes, reason});
}

void endpoint_reconciler::forDropping(const base::item_id &item, const state::residency_view &view, memory &known, const state::endpoint_view &endpoint)
{
    if (isReported(item)) {
        if (retry(known)) {
            m_steps.push_back({endpoint_step::kind::sendUnload, item, view.bytes, "it is to be dropped"});
        }
        return;
    }
    // Absent is not enough: a load that is still on its way would bring the item back after its memory was given to another.
    // That holds for engines that check fencing tokens, too: one that restarts forgets its tokens and takes a late load again.
    const bool formerOwnersMayLoad = base::clock::now() - m_heldSince < load_command_tracker::answeredLife;
    if (m_moment < known.seenAt || !view.quarantine.empty() || formerOwnersMayLoad) {
        return;
    }
    if (m_ledger.mayArrive(m_endpoint, item)) {
        if (endpoint.checksFencing && m_ledger.isUnanswered(m_endpoint, item) && retry(known)) {
            m_steps.push_back({endpoint_step::kind::renewToken, item, view.bytes, "a load of it got no answer"});
        }
        return;
    }
    if (retry(known)) {
        m_steps.push_back({endpoint_step::kind::appendReleased, item, view.bytes, "the engine no longer has it"});
    }
}

bool endpoint_reconciler::retry(memory &known)
{
    const base::time_point now = base::clock::now();
    if (known.askedAt != base::time_point::min() && now - known.askedAt < retryInterval) {
        return false;
    }
    known.askedAt = now;
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
