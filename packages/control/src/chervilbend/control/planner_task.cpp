#include <chervilbend/control/planner_task.hpp>

#include <chervilbend/base/log.hpp>
#include <chervilbend/control/entry_sink.hpp>
#include <chervilbend/control/lease_keeper.hpp>
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
/// Entries that are not folded by then may still come; the next pass plans from what the fold shows.
constexpr base::milliseconds foldPatience{5'000};
/// An engine that the host list does not show is given up after this time. A host that is replaced under its id is back sooner.
constexpr base::milliseconds missingPatience{10'000};

/// A node that the host list has not shown for this time has ended (design page, "Memory and placement").
constexpr base::milliseconds endedPatience{600'000};

std::string describe(const state::entry &entry)
{
    if (const auto *assign = std::get_if<state::assign_entry>(&entry)) {
        return "Assigns " + assign->item.value() + " to " + assign->endpoint.value();
    }
    const auto &drop = std::get<state::drop_entry>(entry);
    return "Drops " + drop.item.value() + " from " + drop.endpoint.value();
}

} // namespace

planner_task::planner_task(
    const state::replicated_state &state, lease_keeper &leases, entry_sink &sink, const membership::demand_tree &demand, external::weight_store &store)
    : m_state(state)
    , m_leases(leases)
    , m_sink(sink)
    , m_demand(demand)
    , m_store(store)
{
}

void planner_task::hostsChanged(const std::vector<external::host_entry> &hosts)
{
    m_knowsHosts = true;
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
    if (!m_leases.holds(state::plannerLease()) || !m_knowsHosts) {
        co_return;
    }
    std::optional<external::weight_store_status> store = co_await m_store.status();
    // The answer may have taken long; the lease may have ended meanwhile.
    if (!m_leases.holds(state::plannerLease())) {
        co_return;
    }
    std::vector<state::entry> entries = endpointChanges();
    addEndedNodes(entries);
    if (entries.empty()) {
        addPlan(entries, store);
    }
    if (!entries.empty()) {
        const bool folded = co_await m_sink.appendAndFold(std::move(entries), base::clock::now() + foldPatience);
        if (!folded) {
            LOG4CXX_WARN(logger, "The last plan was not read back in time.");
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
        const bool same = known != m_state.endpoints().end() && known->second.address == address && known->second.zone == host.zone
            && known->second.memory == host.memory && known->second.checksFencing == host.checksFencing;
        if (!same) {
            LOG4CXX_INFO(logger, "Registers engine " << id << " at " << address << " in zone " << host.zone << '.');
            entries.emplace_back(state::endpoint_entry{id, address, host.zone, host.memory, host.checksFencing, false, token});
        }
        m_missingSince.erase(id);
    }
    for (const auto &[id, view] : m_state.endpoints()) {
        if (!m_engines.contains(id) && now - m_missingSince.try_emplace(id, now).first->second >= missingPatience) {
            LOG4CXX_INFO(logger, "Gives up engine " << id << ": the host list no longer shows it.");
            entries.emplace_back(state::endpoint_entry{id, view.address, view.zone, view.memory, view.checksFencing, true, token});
        }
    }
    std::erase_if(m_missingSince, [this](const auto &entry) { return !m_state.endpoints().contains(entry.first); });
    return entries;
}

void planner_task::addEndedNodes(std::vector<state::entry> &entries)
{
    const base::time_point now = base::clock::now();
    std::map<base::node_id, base::incarnation> former;
    for (const auto &[endpoint, items] : m_state.quarantined()) {
        for (const auto &[item, resident] : items) {
            for (const state::quarantine_view &owner : resident.quarantine) {
                former[owner.node] = std::max(former[owner.node], owner.incarnation);
            }
        }
    }
    for (const auto &[node, life] : former) {
        if (!m_nodes.contains(node) && now - m_nodeMissingSince.try_emplace(node, now).first->second >= endedPatience) {
            LOG4CXX_INFO(logger, "Counts life " << life << " of node " << node << " as ended: the host list no longer shows it.");
            entries.emplace_back(state::incarnation_ended_entry{node, life});
        }
    }
    std::erase_if(m_nodeMissingSince, [&](const auto &entry) { return m_nodes.contains(entry.first) || !former.contains(entry.first); });
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
