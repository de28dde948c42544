#include <chervilbend/measure/load_peak_measurement.hpp>

#include <chervilbend/measure/sim/arrivals.hpp>
#include <chervilbend/measure/sim/variant.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace chervilbend::measure
{

namespace
{

constexpr double peakStartMs = 40'000;
constexpr double rampMs = 5000;
constexpr double peakEndMs = peakStartMs + rampMs + 30'000;
constexpr double durationMs = peakEndMs + 30'000;
constexpr double drainMs = 30'000;
constexpr double baseLoad = 0.3;
constexpr double peakLoad = 3;
constexpr double bucketMs = 1000;

double loadAt(double now)
{
    if (now < peakStartMs || now >= peakEndMs) {
        return baseLoad;
    }
    return baseLoad + (peakLoad - baseLoad) * std::min(1.0, (now - peakStartMs) / rampMs);
}

double urgentOnTimeShare(const cluster_simulation &run)
{
    double onTime = 0;
    double all = 0;
    for (const job &each : run.jobs()) {
        if (each.urgency == base::work_class::urgent && each.arrival >= peakStartMs && each.arrival < peakEndMs) {
            all += 1;
            onTime += each.ended >= 0 && each.ended <= each.deadline ? 1 : 0;
        }
    }
    return onTime / std::max(1.0, all);
}

double throughputShare(const cluster_simulation &run, const cluster_settings &cluster)
{
    const auto workAt = [&](double timeMs) {
        return run.workBySecond()[static_cast<std::size_t>(timeMs / 1000) - 1];
    };
    const double possible = cluster.engines * cluster.engine.fullRate() * (peakEndMs - peakStartMs - rampMs);
    return (workAt(peakEndMs) - workAt(peakStartMs + rampMs)) / possible;
}

/// Returns the smallest number of requests of the class that were answered in one of the 5 s intervals of the peak.
double fewestAnswers(const cluster_simulation &run, base::work_class urgency)
{
    std::array<double, 6> answered{};
    for (const job &each : run.jobs()) {
        if (each.urgency == urgency && each.ended >= peakStartMs + rampMs && each.ended < peakEndMs) {
            answered[static_cast<std::size_t>((each.ended - peakStartMs - rampMs) / 5000)] += 1;
        }
    }
    return *std::min_element(answered.begin(), answered.end());
}

/// Returns the 95th percentile of the waiting time of requests that arrive in the interval; refused requests count with the run's duration.
double waitP95(const cluster_simulation &run, double from, double to)
{
    std::vector<double> waits;
    for (const job &each : run.jobs()) {
        if (each.arrival >= from && each.arrival < to) {
            waits.push_back(each.started >= 0 ? each.wait() : durationMs);
        }
    }
    return quantile(std::move(waits), 0.95);
}

/// Returns the seconds after the peak until the waiting time stays below twice its value before the peak, or below 100 ms.
double recoverySeconds(const cluster_simulation &run)
{
    const double bound = std::max(100.0, 2 * waitP95(run, 10'000, peakStartMs));
    double settledAt = peakEndMs;
    for (double from = peakEndMs; from < durationMs; from += bucketMs) {
        if (waitP95(run, from, from + bucketMs) > bound) {
            settledAt = from + bucketMs;
        }
    }
    return (settledAt - peakEndMs) / 1000;
}

} // namespace

std::string load_peak_measurement::name() const
{
    return "crest";
}

std::vector<figure> load_peak_measurement::run(std::uint64_t seed)
{
    arrival_settings arrivals;
    arrivals.durationMs = durationMs;
    arrivals.load = loadAt;
    // The peak itself is the tenfold change of load.
    arrivals.bursty = false;
    arrivals.length = heavyTailedLength;
    arrivals.meanTokens = heavyTailedMean;
    arrivals.urgentShare = 0.15;
    arrivals.normalShare = 0.55;
    const std::vector<job> jobs = makeArrivals(arrivals, seed);
    cluster_settings cluster;
    cluster.engine = arrivals.engine;
    cluster.durationMs = durationMs + drainMs;
    cluster.seed = seed;
    const auto measured = runVariant(cluster, adaptive(), jobs);
    const auto fifoRun = runVariant(cluster, fifo(cluster.engine.slots), jobs);
    const double urgent = urgentOnTimeShare(*measured);
    const double throughput = throughputShare(*measured, cluster);
    const double recovered = recoverySeconds(*measured);
    std::vector<figure> figures{
        {"crest/urgent-in-time", urgent, urgentOnTimeShare(*fifoRun), "share", seed, ">= 0.99", urgent >= 0.99},
        {"crest/work", throughput, throughputShare(*fifoRun, cluster), "of possible", seed, ">= 0.95", throughput >= 0.95},
        {"crest/recovery", recovered, recoverySeconds(*fifoRun), "s", seed, "<= 5", recovered <= 5},
    };
    const std::array<const char *, base::workClassCount> names{"urgent", "normal", "batch"};
    for (int index = 0; index < base::workClassCount; ++index) {
        const auto urgency = static_cast<base::work_class>(index);
        const double fewest = fewestAnswers(*measured, urgency);
        figures.push_back({std::string("crest/least-") + names[static_cast<std::size_t>(index)],
                           fewest,
                           fewestAnswers(*fifoRun, urgency),
                           "answers in 5 s",
                           seed,
                           "> 0",
                           fewest > 0});
    }
    return figures;
}

} // namespace chervilbend::measure
