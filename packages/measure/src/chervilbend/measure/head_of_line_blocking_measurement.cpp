#include <chervilbend/measure/head_of_line_blocking_measurement.hpp>

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
constexpr double longShare = 0.1;

struct run_summary {
    double shortWaitMs = 0;
    double longTokensDone = 0;
};

int drawLength(std::mt19937_64 &random, bool &isLong)
{
    isLong = uniform(random) < longShare;
    return static_cast<int>((isLong ? longTokens : shortTokens) * (0.5 + uniform(random)));
}

run_summary summarize(const cluster_simulation &run)
{
    run_summary summary;
    std::vector<double> waits;
    for (const job &each : run.jobs()) {
        if (each.arrival < warmUpMs) {
            continue;
        }
        if (each.isLong) {
            summary.longTokensDone += each.ended >= 0 ? each.tokens : 0;
        } else {
            // A job that was refused or never started counts with the longest possible wait.
            waits.push_back(each.started >= 0 ? each.wait() : durationMs);
        }
    }
    summary.shortWaitMs = quantile(std::move(waits), 0.99);
    return summary;
}

} // namespace

std::string head_of_line_blocking_measurement::name() const
{
    return "short-behind-long";
}

std::vector<figure> head_of_line_blocking_measurement::run(std::uint64_t seed)
{
    std::vector<figure> figures;
    for (const bool declared : {true, false}) {
        arrival_settings arrivals;
        arrivals.durationMs = durationMs;
        arrivals.exactLoad = true;
        arrivals.load = [](double) {
            return 0.85;
        };
        arrivals.length = drawLength;
        arrivals.meanTokens = (1 - longShare) * shortTokens + longShare * longTokens;
        arrivals.declaresLength = declared;
        const std::vector<job> jobs = makeArrivals(arrivals, seed);
        cluster_settings cluster;
        cluster.engine = arrivals.engine;
        cluster.durationMs = jobs.back().arrival;
        cluster.seed = seed;
        const run_summary measured = summarize(*runVariant(cluster, adaptive(), jobs));
        const run_summary fifoSummary = summarize(*runVariant(cluster, fifo(cluster.engine.slots), jobs));
        const run_summary leastOutstandingSummary = summarize(*runVariant(cluster, leastOutstanding(), jobs));
        const std::string prefix = declared ? "short-behind-long/" : "short-behind-long/undeclared/";
        figures.push_back({prefix + "wait-fifo",
                           measured.shortWaitMs,
                           fifoSummary.shortWaitMs,
                           "ms p99",
                           seed,
                           "<= 0.10 x fifo",
                           measured.shortWaitMs <= 0.1 * fifoSummary.shortWaitMs});
        figures.push_back({prefix + "wait-least",
                           measured.shortWaitMs,
                           leastOutstandingSummary.shortWaitMs,
                           "ms p99",
                           seed,
                           "<= 0.33 x least outstanding",
                           measured.shortWaitMs <= leastOutstandingSummary.shortWaitMs / 3});
        const double bestBaseline = std::max(fifoSummary.longTokensDone, leastOutstandingSummary.longTokensDone);
        figures.push_back({prefix + "long-work",
                           measured.longTokensDone,
                           bestBaseline,
                           "tokens",
                           seed,
                           ">= 0.90 x best baseline",
                           measured.longTokensDone >= 0.9 * bestBaseline});
    }
    return figures;
}

} // namespace chervilbend::measure
