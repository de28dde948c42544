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

/// What one schedule did, so that a schedule in which nothing happens does not pass for a good one.
struct memory_result {
    /// Engines that ever held more than their memory, by their own count.
    std::int64_t overcommitted = 0;
    std::int64_t assigned = 0;
    std::int64_t released = 0;
    std::int64_t ownerChanges = 0;
    std::int64_t quarantines = 0;
};

/// A random schedule of moves on two engines that check fencing tokens and two that do not, with the real fold, lease keepers and endpoint
/// drivers on three nodes: lost, late and duplicated commands, kills, pauses, owner changes, planner changes with stale planners, log
/// faults, and restarts and departures of engines.
class memory_simulation
{
public:
    explicit memory_simulation(std::uint64_t seed);

    /// Runs for @p duration of virtual time.
    memory_result run(base::milliseconds duration);

private:
    struct node_slot {
        base::node_id id;
        base::incarnation life{1};
        std::unique_ptr<control_node> node;
        base::time_point changesAt = base::time_point::max();
        base::time_point reconnectsAt = base::time_point::max();
    };

    struct engine_slot {
        base::endpoint_id id;
        net::address where;
        std::shared_ptr<fakes::engine_model> engine;
        base::time_point returnsAt = base::time_point::min();
    };

    void startNode(node_slot &slot);
    void step();
    void injectNodeFaults();
    void endNodeFaults(node_slot &slot);
    void injectLogFaults();
    void injectEngineFaults();
    /// A planner that moves items at random, for the node that holds the lease, or held it.
    void plan(control_node &node);
    state::entry randomMove(const control_node &node, base::log_offset token);
    void registerEngines(control_node &node, base::log_offset token);
    /// Gives a lease to another node without asking its holder.
    void moveLease(control_node &node);
    void observe();
    bool isTime(base::milliseconds meanInterval);
    base::time_point later(std::int64_t leastMilliseconds, std::int64_t mostMilliseconds);
    node_slot &randomNode();
    engine_slot &randomEngine();

    fakes::seeded_random m_random;
    simulated_time m_time;
    std::shared_ptr<fakes::log_store> m_store;
    fakes::log_faults m_logFaults;
    base::time_point m_outageEnds = base::time_point::min();
    std::vector<node_slot> m_nodes;
    std::vector<engine_slot> m_engines;
    std::vector<base::log_offset> m_formerTokens;
    /// Folds the log without faults, to count what took effect.
    state::replicated_state m_observer;
    std::map<base::endpoint_id, base::log_offset> m_owners;
    memory_result m_result;
};

} // namespace chervilbend::measure
