#pragma once

#include <chervilbend/fakes/engine_model.hpp>
#include <chervilbend/fakes/log_store.hpp>
#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/measure/simulation/control_node.hpp>
#include <chervilbend/measure/simulation/simulated_time.hpp>
#include <chervilbend/net/address.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilbend::measure
{

/// Counts of one schedule. The numbers of events show that a schedule without breaches also exercised the system.
struct memory_result {
    /// Engines that at any time held more than their memory, by their own accounting.
    std::int64_t overcommitted = 0;
    std::int64_t assigned = 0;
    std::int64_t released = 0;
    std::int64_t ownerChanges = 0;
    std::int64_t quarantines = 0;
};

/// A random schedule of loads and drops on two engines that check fencing tokens and two that do not, with the real replicated state, lease
/// managers and endpoint drivers on three nodes. Faults: lost, late and duplicated commands, kills, pauses, owner changes, planner changes
/// with stale planners, log faults, and restarts and departures of engines.
class memory_simulation
{
public:
    explicit memory_simulation(std::uint64_t seed);

    /// Runs for @p duration of virtual time.
    memory_result run(base::milliseconds duration);

    /// The payloads of all records of the log, in order.
    const std::vector<std::string> &history() const
    {
        return m_history;
    }

private:
    struct node_slot {
        base::node_id id;
        base::incarnation incarnation{1};
        std::unique_ptr<control_node> node;
        base::time_point faultEndsAt = base::time_point::max();
        base::time_point reconnectsAt = base::time_point::max();
    };

    struct engine_slot {
        base::endpoint_id id;
        net::address address;
        std::shared_ptr<fakes::engine_model> engine;
        base::time_point returnsAt = base::time_point::min();
    };

    void startNode(node_slot &slot);
    void step();
    void injectNodeFaults();
    void endNodeFaults(node_slot &slot);
    void injectLogFaults();
    void injectEngineFaults();
    /// Appends a random planner entry for a node that holds the planner lease, or has lost it.
    void plan(control_node &node);
    state::entry randomPlannerEntry(const control_node &node, base::log_offset token);
    void registerEngines(control_node &node, base::log_offset token);
    /// Transfers a lease to another node without the consent of its holder.
    void transferLease(control_node &node);
    void countAppliedEntries();
    bool isDue(base::milliseconds meanInterval);
    base::time_point randomTime(std::int64_t leastMilliseconds, std::int64_t mostMilliseconds);
    node_slot &randomNode();
    engine_slot &randomEngine();

    fakes::seeded_random m_random;
    simulated_time m_time;
    std::shared_ptr<fakes::log_store> m_store;
    fakes::log_faults m_logFaults;
    base::time_point m_outageEndsAt = base::time_point::min();
    std::vector<node_slot> m_nodes;
    std::vector<engine_slot> m_engines;
    std::vector<base::log_offset> m_formerTokens;
    /// Applies the log without faults, to count the entries that took effect.
    state::replicated_state m_observer;
    std::map<base::endpoint_id, base::log_offset> m_owners;
    std::vector<std::string> m_history;
    memory_result m_result;
};

} // namespace chervilbend::measure
