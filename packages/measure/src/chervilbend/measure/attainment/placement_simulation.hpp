#pragma once

#include <chervilbend/base/manual_time_source.hpp>
#include <chervilbend/config/service_declaration.hpp>
#include <chervilbend/fakes/weight_store_model.hpp>
#include <chervilbend/measure/attainment/demand_day.hpp>
#include <chervilbend/measure/attainment/placement_policy.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chervilbend::measure
{

/// The sizes of a deployment.
struct deployment {
    std::string name;
    int zones = 3;
    int endpoints = 12;
    int models = 15;
    int adapters = 75;
    external::weight_store_status store;
    /// Memory of an endpoint in units of 640 GB.
    std::int64_t memoryFactor = 1;
};

/// Totals of one policy over the simulated time.
struct placement_result {
    double offered = 0;
    /// Work done within its deadline.
    double attained = 0;
    /// Loads and drops of models and adapters after the initial placement.
    std::int64_t moves = 0;
    /// Model-seconds without a loaded copy.
    std::int64_t unreachable = 0;
    /// Log entries that the replicated state rejected.
    std::int64_t refused = 0;
};

/// Runs a policy over a day in virtual time, in steps of 1 s, with the product's replicated state and the simulated weight store.
///
/// This is a fluid model: there are no single requests. An ideal router distributes each model's work evenly over its loaded copies. An
/// endpoint meets all deadlines up to a utilisation of 0.8, 90% of them at 1, and beyond that as many as its capacity allows; queueing
/// theory gives similar curves for servers with tens of slots. A copy takes 40% more time per request in its first minute, while its
/// prefix cache is cold. A copy that is dropped loses the last 5 s of its work.
class placement_simulation
{
public:
    placement_simulation(deployment size, const demand_day &day, std::uint64_t seed);

    /// Runs the first @p seconds of the day.
    placement_result run(placement_policy &policy, int seconds = demand_day::seconds);

    /// The items of the models, in the order of the models in the demand.
    const std::vector<base::item_id> &models() const
    {
        return m_models;
    }

private:
    struct copy {
        base::endpoint_id endpoint;
        base::time_point loadedAt;
        double share = 0;
    };

    void declare(std::uint64_t seed);
    void registerEndpoints();
    void append(const std::vector<state::entry> &entries);
    void startTransfers();
    void finishTransfers();
    void serve(int second, placement_result &result);
    void distributeLoad();
    void plan(placement_policy &policy, int second, placement_result &result);
    double relativeCost(const copy &loaded) const;
    std::map<base::item_id, double> windowMean(int second) const;

    deployment m_size;
    const demand_day &m_day;
    base::manual_time_source m_time;
    state::replicated_state m_state;
    fakes::weight_store_model m_store;
    config::service_declaration m_declaration;
    std::vector<base::item_id> m_models;
    std::int64_t m_lastOffset = 0;
    base::log_offset m_plannerToken;
    std::map<std::pair<base::endpoint_id, base::item_id>, base::time_point> m_loadEnds;
    /// Loaded copies by model.
    std::vector<std::vector<copy>> m_copies;
    std::vector<double> m_demand;
    std::map<base::endpoint_id, double> m_load;
};

} // namespace chervilbend::measure
