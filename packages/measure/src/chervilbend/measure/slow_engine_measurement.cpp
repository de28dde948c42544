#include <chervilbend/measure/slow_engine_measurement.hpp>

#include <chervilbend/measure/sim/arrivals.hpp>
#include <chervilbend/measure/sim/variant.hpp>

namespace chervilbend::measure
{

namespace
{

constexpr double durationMs = 120'000;
constexpr double warmUpMs = 10'000;
/// Time after the last arrival in which running requests can complete.
constexpr double drainMs = 60'000;

double latencyP99(const cluster_simulation &run)
{
    std::vector<double> latencies;
    for (const job &each : run.jobs()) {
        if (each.arrival >= warmUpMs) {
            // Requests that were refused or never answered count with the longest possible latency.
            latencies.push_back(each.ended >= 0 ? each.latency() : durationMs + drainMs);
        }
    }
    return quantile(std::move(latencies), 0.99);
}

} // namespace

std::string slow_engine_measurement::name() const
{
    return "slowed";
}

std::vector<figure> slow_engine_measurement::run(std::uint64_t seed)
{
    std::vector<figure> figures;
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
        cluster.durationMs = durationMs + drainMs;
        cluster.seed = seed;
        const double healthyLatency = latencyP99(*runVariant(cluster, adaptive(), jobs));
        cluster.slowEngines = 2;
        const double measured = latencyP99(*runVariant(cluster, adaptive(), jobs));
        const double roundRobinLatency = latencyP99(*runVariant(cluster, roundRobin(), jobs));
        const std::string prefix = "slowed/" + std::to_string(nodes) + "-nodes/";
        figures.push_back({prefix + "healthy", measured, healthyLatency, "ms p99", seed, "<= 1.30 x without slow engines", measured <= 1.3 * healthyLatency});
        figures.push_back({prefix + "round-robin", measured, roundRobinLatency, "ms p99", seed, "<= 0.33 x round robin", measured <= roundRobinLatency / 3});
    }
    return figures;
}

} // namespace chervilbend::measure
