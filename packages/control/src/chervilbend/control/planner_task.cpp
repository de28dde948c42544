#include <chervilbend/control/planner_task.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/control/entry_sink.hpp>
#include <chervilbend/control/lease_manager.hpp>
#include <chervilbend/net/address.hpp>
#include <chervilbend/net/sleep.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace chervilbend::control
{

namespace
{

const auto logger = base::partLogger("place");

constexpr base::milliseconds passInterval{1'000};
/// Entries that are not applied by then may still take effect; the next pass plans from the replicated state.
constexpr base::milliseconds readBackTimeout{5'000};
/// An engine that is missing from the host list is deregistered after this time. A host that is replaced under the same id is back sooner.
constexpr base::milliseconds missingEngineTimeout{10'000};

/// A node that has been missing from the host list for this time has ended (design page, "Memory and placement").
constexpr base::milliseconds missingNodeTimeout{600'000};

std::string describe(const state::entry &entry)
{
    if (const auto *assign = std::get_if<state::assign_entry>(&entry)) {
        return "Assigning " + assign->item.value() + " to " + assign->endpoint.value();
    }
    const auto &drop = std::get<state::drop_entry>(entry);
    return "Dropping " + drop.item.value() + " from " + drop.endpoint.value();
}

} // namespace

planner_task::planner_task(
    const state::replicated_state &state, lease_manager &leases, entry_sink &sink, const membership::demand_tree &demand, external::weight_store &store)
    : m_state(state)
    , m_leases(leases)
    , m_sink(sink)
    , m_demand(demand)
    , m_store(store)
{
}

void planner_task::hostsChanged(const std::vector<external::host_entry> &hosts)
{
    m_hostsKnown = true;
    m_engines.clear();
    m_nodes.clear();
    for (const external::host_entry &host : hosts) {
        if (host.kind == external::host_kind::modelEngine) {
            m_engines.emplace(base::endpoint_id(host.id), host);
        } else if (host.kind == external::host_kind::node) {
            m_nodes.insert(base::node_id(host.id));
        }
    }
}

boost::asio::awaitable<void> planner_task::run()
{
    while (true) {
        co_await planOnce();
        co_await net::sleepFor(passInterval);
    }
}

boost::asio::awaitable<void> planner_task::planOnce()
{
    if (!m_leases.holds(state::plannerLease()) || !m_hostsKnown) {
        co_return;
    }
    std::optional<external::weight_store_status> store = co_await m_store.status();
    // The lease may have expired while waiting for the answer.
    if (!m_leases.holds(state::plannerLease())) {
        co_return;
    }
    std::vector<state::entry> entries = endpointChanges();
    addEndedNodes(entries);
    if (entries.empty()) {
        addPlan(entries, store);
    }
    if (!entries.empty()) {
        const bool applied = co_await m_sink.appendAndApply(std::move(entries), base::clock::now() + readBackTimeout);
        if (!applied) {
            LOG4CXX_WARN(logger, "The entries of the last plan were not read back within 5 s.");
        }
    }
}

std::vector<state::entry> planner_task::endpointChanges()
{
    const base::time_point now = base::clock::now();
    const base::log_offset token = m_leases.token(state::plannerLease());
    std::vector<state::entry> entries;
    for (const auto &[id, host] : m_engines) {
        const std::string address = net::toString(host.address);
        const auto known = m_state.endpoints().find(id);
        const bool isUnchanged = known != m_state.endpoints().end() && known->second.address == address && known->second.zone == host.zone
            && known->second.memory == host.memory && known->second.checksFencing == host.checksFencing;
        if (!isUnchanged) {
            LOG4CXX_INFO(logger, "Registering engine " << id << " at " << address << " in zone " << host.zone << '.');
            entries.emplace_back(state::endpoint_entry{id, address, host.zone, host.memory, host.checksFencing, false, token});
        }
        m_engineMissingSince.erase(id);
    }
    for (const auto &[id, view] : m_state.endpoints()) {
        if (!m_engines.contains(id) && now - m_engineMissingSince.try_emplace(id, now).first->second >= missingEngineTimeout) {
            LOG4CXX_INFO(logger, "Deregistering engine " << id << ": it is missing from the host list.");
            entries.emplace_back(state::endpoint_entry{id, view.address, view.zone, view.memory, view.checksFencing, true, token});
        }
    }
    std::erase_if(m_engineMissingSince, [this](const auto &entry) { return !m_state.endpoints().contains(entry.first); });
    return entries;
}

void planner_task::addEndedNodes(std::vector<state::entry> &entries)
{
    const base::time_point now = base::clock::now();
    std::map<base::node_id, base::incarnation> formerOwners;
    for (const auto &[endpoint, items] : m_state.quarantined()) {
        for (const auto &[item, resident] : items) {
            for (const state::quarantine_view &owner : resident.quarantine) {
                formerOwners[owner.node] = std::max(formerOwners[owner.node], owner.incarnation);
            }
        }
    }
    for (const auto &[node, incarnation] : formerOwners) {
        if (!m_nodes.contains(node) && now - m_nodeMissingSince.try_emplace(node, now).first->second >= missingNodeTimeout) {
            LOG4CXX_INFO(logger, "Recording incarnation " << incarnation << " of node " << node << " as ended: it is missing from the host list.");
            entries.emplace_back(state::incarnation_ended_entry{node, incarnation});
        }
    }
    std::erase_if(m_nodeMissingSince, [&](const auto &entry) { return m_nodes.contains(entry.first) || !formerOwners.contains(entry.first); });
}

void planner_task::addPlan(std::vector<state::entry> &entries, const std::optional<external::weight_store_status> &store)
{
    placement::planner_input input{m_state.services(), m_state.endpoints(), {}, m_demand.sum(), {}, m_leases.token(state::plannerLease())};
    for (const auto &[id, host] : m_engines) {
        if (!host.draining) {
            input.usable.insert(id);
        }
    }
    if (store) {
        input.store = {store->loadsPerSecond, store->slots, store->adapterSlots, store->inTransit};
    }
    for (placement::planned_change &change : m_planner.plan(input)) {
        LOG4CXX_INFO(logger, describe(change.entry) << ": " << change.reason << '.');
        entries.push_back(std::move(change.entry));
    }
}

} // namespace chervilbend::control
