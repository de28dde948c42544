#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/ids.hpp>
#include <chervilbend/control/host_listener.hpp>
#include <chervilbend/external/weight_store.hpp>
#include <chervilbend/membership/demand_tree.hpp>
#include <chervilbend/placement/placement_planner.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chervilbend::control
{

class entry_sink;
class lease_manager;

/// Runs the placement planner while this node holds the planner lease: registers the engines of the host list and appends the planned changes.
class planner_task : public host_listener
{
public:
    /// All references must outlive the task.
    planner_task(
        const state::replicated_state &state, lease_manager &leases, entry_sink &sink, const membership::demand_tree &demand, external::weight_store &store);

    /// Commands.

    /// Calls planOnce() once per second until cancelled.
    boost::asio::awaitable<void> run();

    /// Runs one planning pass. Waits until the entries that it appends are applied, for up to 5 s.
    boost::asio::awaitable<void> planOnce();

    void hostsChanged(const std::vector<external::host_entry> &hosts) override;

private:
    /// Returns entries for engines that are new, changed or missing in the host list.
    std::vector<state::entry> endpointChanges();
    /// Adds entries for former owners of engines that do not check fencing tokens, if these nodes have long been missing from the host list.
    void addEndedNodes(std::vector<state::entry> &entries);
    void addPlan(std::vector<state::entry> &entries, const std::optional<external::weight_store_status> &store);

    const state::replicated_state &m_state;
    lease_manager &m_leases;
    entry_sink &m_sink;
    const membership::demand_tree &m_demand;
    external::weight_store &m_store;
    placement::placement_planner m_planner;
    bool m_hostsKnown = false;
    std::map<base::endpoint_id, external::host_entry> m_engines;
    std::set<base::node_id> m_nodes;
    std::map<base::node_id, base::time_point> m_nodeMissingSince;
    /// Since when a registered endpoint has been missing from the host list.
    std::map<base::endpoint_id, base::time_point> m_engineMissingSince;
};

} // namespace chervilbend::control
