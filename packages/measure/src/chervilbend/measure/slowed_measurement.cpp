#include <chervilbend/measure/slowed_measurement.hpp>

#include <chervilbend/measure/sim/arrivals.hpp>
#include <chervilbend/measure/sim/variant.hpp>

namespace chervilbend::measure
{

namespace
{

constexpr double durationMs = 120'000;
constexpr double warmUpMs = 10'000;
/// After the last arrivals, so that running work can end.
constexpr double tailMs = 60'000;

double tailLatency(const cluster_simulation &run)
{
    std::vector<double> latencies;
    for (const job &each : run.jobs()) {
        if (each.arrival >= warmUpMs) {
            // What was refused or never answered counts as slower than all else.
            latencies.push_back(each.ended >= 0 ? each.latency() : durationMs + tailMs);
        }
    }
    return quantile(std::move(latencies), 0.99);
}

} // namespace

std::string slowed_measurement::name() const
{
    return "slowed";
}

std::vector<figure> slowed_measurement::run(std::uint64_t seed)
{
    std::vector<figure> lines;
    for (const int nodes : {1, 9, 64}) {
        arrival_settings arrivals;
        arrivals.engines = 12;
        arrivals.nodes = nodes;
        arrivals.durationMs = durationMs;
        arrivals.load = [](double) {
            return 0.5;
        };
        arrivals.length = heavyTailedLength;
        arrivals.meanTokens = heavyTailedMean;
        const std::vector<job> jobs = makeArrivals(arrivals, seed);
        cluster_settings cluster;
        cluster.engines = arrivals.engines;
        cluster.nodes = nodes;
        cluster.engine = arrivals.engine;
        cluster.durationMs = durationMs + tailMs;
        cluster.seed = seed;
        const double healthy = tailLatency(*runVariant(cluster, adaptive(), jobs));
        cluster.slowEngines = 2;
        const double ours = tailLatency(*runVariant(cluster, adaptive(), jobs));
        const double turns = tailLatency(*runVariant(cluster, roundRobin(), jobs));
        const std::string prefix = "slowed/" + std::to_string(nodes) + "-nodes/";
        lines.push_back({prefix + "healthy", ours, healthy, "ms p99", seed, "<= 1.30 x without slow engines", ours <= 1.3 * healthy});
        lines.push_back({prefix + "round-robin", ours, turns, "ms p99", seed, "<= 0.33 x round robin", ours <= turns / 3});
    }
    return lines;
}

} // namespace chervilbend::measure
