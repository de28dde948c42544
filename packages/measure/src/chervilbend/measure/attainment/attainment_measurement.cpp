#include <chervilbend/measure/attainment/attainment_measurement.hpp>

#include <chervilbend/measure/attainment/baseline_policies.hpp>
#include <chervilbend/measure/attainment/placement_simulation.hpp>
#include <chervilbend/measure/attainment/planner_policy.hpp>

namespace chervilbend::measure
{

namespace
{

enum class policy_kind {
    planner,
    staticPlacement,
    greedy,
};

/// The two deployments that the design documents as current sizes.
std::vector<deployment> deployments()
{
    external::weight_store_status chapaSul;
    chapaSul.loadsPerSecond = 2;
    chapaSul.slots = 4;
    chapaSul.adapterSlots = 30;
    external::weight_store_status consorcio = chapaSul;
    consorcio.slots = 3;
    consorcio.adapterSlots = 25;
    return {{"chapa-sul", 3, 12, 15, 75, chapaSul}, {"consorcio", 4, 9, 13, 55, consorcio}};
}

placement_result runDay(policy_kind kind, const deployment &deployed, const demand_day &day, std::uint64_t seed)
{
    placement_simulation simulation(deployed, day, seed);
    if (kind == policy_kind::planner) {
        planner_policy planner;
        return simulation.run(planner);
    }
    if (kind == policy_kind::greedy) {
        greedy_policy greedy;
        return simulation.run(greedy);
    }
    std::map<base::item_id, double> means;
    for (int model = 0; model < deployed.models; ++model) {
        means[simulation.models()[static_cast<std::size_t>(model)]] = day.mean(model);
    }
    static_policy staticPlacement(means);
    return simulation.run(staticPlacement);
}

double onTimeShare(const placement_result &result)
{
    return result.attained / result.offered;
}

/// Compares the share of work done within its deadline, and the number of moves, on the same number of accelerators.
std::vector<figure> compareWithBaselines(const deployment &deployed, const demand_day &day, std::uint64_t seed)
{
    const placement_result measured = runDay(policy_kind::planner, deployed, day, seed);
    const placement_result staticPlacement = runDay(policy_kind::staticPlacement, deployed, day, seed);
    const placement_result greedy = runDay(policy_kind::greedy, deployed, day, seed);
    // Upper bound: with every model on every endpoint, only routing limits the result.
    deployment unlimited = deployed;
    unlimited.memoryFactor = 100;
    const placement_result upperBound = runDay(policy_kind::staticPlacement, unlimited, day, seed);
    const double share = onTimeShare(measured);
    const auto moves = static_cast<double>(measured.moves);
    const auto greedyMoves = static_cast<double>(greedy.moves);
    const auto unreachable = static_cast<double>(measured.unreachable);
    const auto refused = static_cast<double>(measured.refused);
    const std::string prefix = deployed.name + " ";
    return {{prefix + "on time, static", share, onTimeShare(staticPlacement), "share", seed, ">= 1.5 x baseline", share >= 1.5 * onTimeShare(staticPlacement)},
            {prefix + "on time, greedy", share, onTimeShare(greedy), "share", seed, ">= 1.1 x baseline", share >= 1.1 * onTimeShare(greedy)},
            {prefix + "on time, endless memory", share, onTimeShare(upperBound), "share", seed, "none, an upper bound", true},
            {prefix + "moves, greedy", moves, greedyMoves, "per day", seed, "<= 1/3 x baseline", moves * 3 <= greedyMoves},
            {prefix + "unreachable, greedy", unreachable, static_cast<double>(greedy.unreachable), "model-seconds", seed, "0", measured.unreachable == 0},
            {prefix + "refused, greedy", refused, static_cast<double>(greedy.refused), "entries", seed, "none", true}};
}

} // namespace

std::vector<figure> attainment_measurement::run(std::uint64_t seed)
{
    std::vector<figure> figures;
    for (const deployment &deployed : deployments()) {
        const demand_day day(deployed.models, seed);
        const std::vector<figure> compared = compareWithBaselines(deployed, day, seed);
        figures.insert(figures.end(), compared.begin(), compared.end());
    }
    return figures;
}

} // namespace chervilbend::measure
