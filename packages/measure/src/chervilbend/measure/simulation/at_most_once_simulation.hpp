#pragma once

#include <chervilbend/fakes/log_store.hpp>
#include <chervilbend/fakes/seeded_random.hpp>
#include <chervilbend/measure/simulation/at_most_once_options.hpp>
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

/// Simulates non-idempotent orders through several nodes under kills, pauses, lost answers, log outages and retries through other nodes.
///
/// A caller waits for the answer to one attempt, or for its time-out, before it sends the next. An answer after the time-out does not
/// reach it.
class at_most_once_simulation
{
public:
    explicit at_most_once_simulation(std::uint64_t seed, at_most_once_options options = {});

    /// Runs until all callers are done, or the limit after the last first attempt is reached.
    const order_history &run();

    /// Number of answers "ran" with a body other than that of the order's execution.
    std::int64_t wrongAnswers() const;
    /// Number of orders whose last answer was "unknown" or that got none.
    std::int64_t unknownOrders() const;

private:
    struct caller {
        std::string key;
        base::time_point nextAttemptAt;
        int attempts = 0;
        bool done = false;
        bool repeatsAfterRan = false;
        std::shared_ptr<order_call> call;
        base::time_point timeoutAt;
        base::run_state lastState = base::run_state::unknown;
    };

    struct node_slot {
        base::node_id id;
        base::incarnation incarnation{1};
        std::unique_ptr<order_node> node;
        base::time_point killedAt{};
        base::time_point faultEndsAt = base::time_point::max();
        base::time_point reconnectsAt = base::time_point::max();
    };

    void makeCallers();
    std::string makeKey(int number);
    void startNode(node_slot &slot);
    bool hasEnded(const base::node_id &node, base::incarnation incarnation) const;
    void step();
    void stepCaller(caller &each);
    void send(caller &each);
    void handleAnswer(caller &each);
    void retry(caller &each, double probability, base::milliseconds maxPause);
    void injectFaults();
    void injectNodeFaults();
    void endNodeFaults(node_slot &slot);
    bool isDue(base::milliseconds meanInterval);
    base::time_point randomTime(std::int64_t leastMilliseconds, std::int64_t mostMilliseconds);

    at_most_once_options m_options;
    fakes::seeded_random m_random;
    simulated_time m_time;
    std::shared_ptr<fakes::log_store> m_store;
    fakes::log_faults m_faults;
    order_history m_history;
    order_service m_service;
    std::vector<node_slot> m_nodes;
    std::vector<caller> m_callers;
    base::time_point m_outageEndsAt{};
    base::time_point m_slowLogEndsAt{};
    std::int64_t m_wrongAnswers = 0;
};

} // namespace chervilbend::measure
