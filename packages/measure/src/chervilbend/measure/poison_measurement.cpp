#include <chervilbend/measure/poison_measurement.hpp>

#include <chervilbend/measure/sim/arrivals.hpp>
#include <chervilbend/measure/sim/variant.hpp>

#include <algorithm>

namespace chervilbend::measure
{

namespace
{

constexpr double durationMs = 60'000;
constexpr double drainMs = 60'000;

} // namespace

std::string poison_measurement::name() const
{
    return "poison";
}

std::vector<figure> poison_measurement::run(std::uint64_t seed)
{
    arrival_settings arrivals;
    arrivals.engines = 12;
    arrivals.nodes = 9;
    arrivals.durationMs = durationMs;
    arrivals.load = [](double) {
        return 0.4;
    };
    arrivals.length = heavyTailedLength;
    arrivals.meanTokens = heavyTailedMean;
    const std::vector<job> jobs = makeArrivals(arrivals, seed);
    cluster_settings cluster;
    cluster.engines = arrivals.engines;
    cluster.nodes = arrivals.nodes;
    cluster.engine = arrivals.engine;
    cluster.durationMs = durationMs + drainMs;
    cluster.seed = seed;
    cluster.poisonSends = 100;
    const auto measured = runVariant(cluster, adaptive(), jobs);
    const auto baseline = runVariant(cluster, leastOutstanding(), jobs);
    const auto countFailed = [](const cluster_simulation &run, bool asSuspect) {
        return static_cast<double>(std::count_if(
            run.jobs().begin(), run.jobs().end(), [&](const job &each) { return !each.isPoison && (asSuspect ? each.wasRefusedAsSuspect : each.ended < 0); }));
    };
    const double refused = countFailed(*measured, true);
    const double unanswered = countFailed(*measured, false);
    return {
        {"poison/crashes",
         static_cast<double>(measured->crashes()),
         static_cast<double>(baseline->crashes()),
         "crashes",
         seed,
         "<= 3",
         measured->crashes() <= 3},
        {"poison/innocent-refused", refused, countFailed(*baseline, true), "requests", seed, "0", refused == 0},
        {"poison/innocent-unanswered", unanswered, countFailed(*baseline, false), "requests", seed, "0", unanswered == 0},
    };
}

} // namespace chervilbend::measure
