#include <chervilbend/measure/short_behind_long_measurement.hpp>

#include <chervilbend/measure/sim/arrivals.hpp>
#include <chervilbend/measure/sim/variant.hpp>

#include <algorithm>

namespace chervilbend::measure
{

namespace
{

constexpr double durationMs = 1'200'000;
constexpr double warmUpMs = 20'000;
constexpr int shortTokens = 40;
constexpr int longTokens = 20 * shortTokens;
constexpr double longPart = 0.1;

struct outcome {
    double shortWait = 0;
    double longTokensDone = 0;
};

int drawLength(std::mt19937_64 &random, bool &isLong)
{
    isLong = uniform(random) < longPart;
    return static_cast<int>((isLong ? longTokens : shortTokens) * (0.5 + uniform(random)));
}

outcome judge(const cluster_simulation &run)
{
    outcome result;
    std::vector<double> waits;
    for (const job &each : run.jobs()) {
        if (each.arrival < warmUpMs) {
            continue;
        }
        if (each.isLong) {
            result.longTokensDone += each.ended >= 0 ? each.tokens : 0;
        } else {
            // A refused or unstarted job has waited longer than any other.
            waits.push_back(each.started >= 0 ? each.wait() : durationMs);
        }
    }
    result.shortWait = quantile(std::move(waits), 0.99);
    return result;
}

} // namespace

std::string short_behind_long_measurement::name() const
{
    return "short-behind-long";
}

std::vector<figure> short_behind_long_measurement::run(std::uint64_t seed)
{
    std::vector<figure> lines;
    for (const bool declared : {true, false}) {
        arrival_settings arrivals;
        arrivals.durationMs = durationMs;
        arrivals.exactLoad = true;
        arrivals.load = [](double) {
            return 0.85;
        };
        arrivals.length = drawLength;
        arrivals.meanTokens = (1 - longPart) * shortTokens + longPart * longTokens;
        arrivals.declaresLength = declared;
        const std::vector<job> jobs = makeArrivals(arrivals, seed);
        cluster_settings cluster;
        cluster.engine = arrivals.engine;
        cluster.durationMs = jobs.back().arrival;
        cluster.seed = seed;
        const outcome ours = judge(*runVariant(cluster, adaptive(), jobs));
        const outcome first = judge(*runVariant(cluster, fifo(cluster.engine.slots), jobs));
        const outcome least = judge(*runVariant(cluster, leastOutstanding(), jobs));
        const std::string prefix = declared ? "short-behind-long/" : "short-behind-long/undeclared/";
        lines.push_back({prefix + "wait-fifo", ours.shortWait, first.shortWait, "ms p99", seed, "<= 0.10 x fifo", ours.shortWait <= 0.1 * first.shortWait});
        lines.push_back(
            {prefix + "wait-least", ours.shortWait, least.shortWait, "ms p99", seed, "<= 0.33 x least outstanding", ours.shortWait <= least.shortWait / 3});
        const double best = std::max(first.longTokensDone, least.longTokensDone);
        lines.push_back({prefix + "long-work", ours.longTokensDone, best, "tokens", seed, ">= 0.90 x best baseline", ours.longTokensDone >= 0.9 * best});
    }
    return lines;
}

} // namespace chervilbend::measure
