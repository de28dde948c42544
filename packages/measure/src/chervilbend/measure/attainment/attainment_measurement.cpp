#include <chervilbend/measure/attainment/attainment_measurement.hpp>

#include <chervilbend/measure/attainment/baseline_policies.hpp>
#include <chervilbend/measure/attainment/placement_simulation.hpp>
#include <chervilbend/measure/attainment/product_policy.hpp>

namespace chervilbend::measure
{

namespace
{

enum class policy_kind {
    product,
    fixed,
    greedy,
};

/// The two deployments of the design page.
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

placement_result runDay(policy_kind kind, const deployment &size, const demand_day &day, std::uint64_t seed)
{
    placement_simulation simulation(size, day, seed);
    if (kind == policy_kind::product) {
        product_policy product;
        return simulation.run(product);
    }
    if (kind == policy_kind::greedy) {
        greedy_policy greedy;
        return simulation.run(greedy);
    }
    std::map<base::item_id, double> means;
    for (int model = 0; model < size.models; ++model) {
        means[simulation.models()[static_cast<std::size_t>(model)]] = day.mean(model);
    }
    static_policy fixed(means);
    return simulation.run(fixed);
}

double shareOnTime(const placement_result &result)
{
    return result.attained / result.offered;
}

/// The share of work on time with the same accelerators for all, and the moves.
std::vector<figure> compareShares(const deployment &size, const demand_day &day, std::uint64_t seed)
{
    const placement_result ours = runDay(policy_kind::product, size, day, seed);
    const placement_result fixed = runDay(policy_kind::fixed, size, day, seed);
    const placement_result greedy = runDay(policy_kind::greedy, size, day, seed);
    // Nothing can do better than the router alone when all models are on all endpoints.
    deployment unlimited = size;
    unlimited.memoryFactor = 100;
    const placement_result ideal = runDay(policy_kind::fixed, unlimited, day, seed);
    const double share = shareOnTime(ours);
    const auto moves = static_cast<double>(ours.moves);
    const auto greedyMoves = static_cast<double>(greedy.moves);
    const auto unreachable = static_cast<double>(ours.unreachable);
    const auto refused = static_cast<double>(ours.refused);
    const std::string prefix = size.name + " ";
    return {{prefix + "on time, static", share, shareOnTime(fixed), "share", seed, ">= 1.5 x baseline", share >= 1.5 * shareOnTime(fixed)},
            {prefix + "on time, greedy", share, shareOnTime(greedy), "share", seed, ">= 1.1 x baseline", share >= 1.1 * shareOnTime(greedy)},
            {prefix + "on time, endless memory", share, shareOnTime(ideal), "share", seed, "none, an upper bound", true},
            {prefix + "moves, greedy", moves, greedyMoves, "per day", seed, "<= 1/3 x baseline", moves * 3 <= greedyMoves},
            {prefix + "unreachable, greedy", unreachable, static_cast<double>(greedy.unreachable), "model-seconds", seed, "0", ours.unreachable == 0},
            {prefix + "refused, greedy", refused, static_cast<double>(greedy.refused), "entries", seed, "none", true}};
}

} // namespace

std::vector<figure> attainment_measurement::run(std::uint64_t seed)
{
    std::vector<figure> figures;
    for (const deployment &size : deployments()) {
        const demand_day day(size.models, seed);
        const std::vector<figure> compared = compareShares(size, day, seed);
        figures.insert(figures.end(), compared.begin(), compared.end());
    }
    return figures;
}

} // namespace chervilbend::measure
