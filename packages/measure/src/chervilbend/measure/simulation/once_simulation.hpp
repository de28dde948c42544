#pragma once

#include <chervilbend/fakes/log_store.hpp>
#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/measure/simulation/once_options.hpp>
#include <chervilbend/measure/simulation/order_history.hpp>
#include <chervilbend/measure/simulation/order_node.hpp>
#include <chervilbend/measure/simulation/order_service.hpp>
#include <chervilbend/measure/simulation/simulated_time.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chervilbend::measure
{

/// Non-idempotent orders through several nodes under kills, pauses, lost answers, log outages and retries through other nodes.
///
/// A caller waits for the answer to one attempt, until its patience is over, before it sends the next; the answer to an attempt that it
/// has given up does not reach it.
class once_simulation
{
public:
    explicit once_simulation(std::uint64_t seed, once_options options = {});

    /// Runs to the end of the last order.
    const order_history &run();

    /// Answers "ran" whose body was not that of the order's only run.
    std::int64_t wrongAnswers() const;
    /// Orders whose last word was "unknown".
    std::int64_t unknownOrders() const;

private:
    struct caller {
        std::string key;
        base::time_point next;
        int attempts = 0;
        bool done = false;
        bool repeatsAfterRan = false;
        std::shared_ptr<order_call> call;
        base::time_point givesUp;
        base::run_state lastWord = base::run_state::unknown;
    };

    struct node_slot {
        base::node_id id;
        base::incarnation life{1};
        std::unique_ptr<order_node> node;
        base::time_point killedAt{};
        base::time_point changesAt = base::time_point::max();
        base::time_point reconnectsAt = base::time_point::max();
    };

    void makeCallers();
    std::string makeKey(int number);
    void startNode(node_slot &slot);
    bool hasEnded(const base::node_id &node, base::incarnation life) const;
    void step();
    void stepCaller(caller &each);
    void send(caller &each);
    void takeAnswer(caller &each);
    void retry(caller &each, double share, base::milliseconds longestPause);
    void injectFaults();
    void injectNodeFaults();
    void endNodeFaults(node_slot &slot);
    bool isTime(base::milliseconds meanInterval);
    base::time_point later(std::int64_t leastMilliseconds, std::int64_t mostMilliseconds);

    once_options m_options;
    fakes::seeded_random m_random;
    simulated_time m_time;
    std::shared_ptr<fakes::log_store> m_store;
    fakes::log_faults m_faults;
    order_history m_history;
    order_service m_service;
    std::vector<node_slot> m_nodes;
    std::vector<caller> m_callers;
    base::time_point m_outageEnds{};
    base::time_point m_slowEnds{};
    std::int64_t m_wrongAnswers = 0;
};

} // namespace chervilbend::measure
