#include <chervilbend/measure/crest_measurement.hpp>

#include <chervilbend/measure/sim/arrivals.hpp>
#include <chervilbend/measure/sim/variant.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace chervilbend::measure
{

namespace
{

constexpr double crestFrom = 40'000;
constexpr double rampMs = 5000;
constexpr double crestTo = crestFrom + rampMs + 30'000;
constexpr double durationMs = crestTo + 30'000;
constexpr double tailMs = 30'000;
constexpr double baseLoad = 0.3;
constexpr double crestLoad = 3;
constexpr double bucketMs = 1000;

double loadAt(double now)
{
    if (now < crestFrom || now >= crestTo) {
        return baseLoad;
    }
    return baseLoad + (crestLoad - baseLoad) * std::min(1.0, (now - crestFrom) / rampMs);
}

double urgentInTime(const cluster_simulation &run)
{
    double met = 0;
    double all = 0;
    for (const job &each : run.jobs()) {
        if (each.urgency == base::work_class::urgent && each.arrival >= crestFrom && each.arrival < crestTo) {
            all += 1;
            met += each.ended >= 0 && each.ended <= each.deadline ? 1 : 0;
        }
    }
    return met / std::max(1.0, all);
}

double workPart(const cluster_simulation &run, const cluster_settings &cluster)
{
    const auto at = [&](double when) {
        return run.workBySecond()[static_cast<std::size_t>(when / 1000) - 1];
    };
    const double possible = cluster.engines * cluster.engine.fullRate() * (crestTo - crestFrom - rampMs);
    return (at(crestTo) - at(crestFrom + rampMs)) / possible;
}

/// Requests of the class answered in its worst five seconds of the crest.
double worstService(const cluster_simulation &run, base::work_class urgency)
{
    std::array<double, 6> answered{};
    for (const job &each : run.jobs()) {
        if (each.urgency == urgency && each.ended >= crestFrom + rampMs && each.ended < crestTo) {
            answered[static_cast<std::size_t>((each.ended - crestFrom - rampMs) / 5000)] += 1;
        }
    }
    return *std::min_element(answered.begin(), answered.end());
}

/// The 95th percentile of the wait of what arrives in a span; refused work counts as waiting for ever.
double waitIn(const cluster_simulation &run, double from, double to)
{
    std::vector<double> waits;
    for (const job &each : run.jobs()) {
        if (each.arrival >= from && each.arrival < to) {
            waits.push_back(each.started >= 0 ? each.wait() : durationMs);
        }
    }
    return quantile(std::move(waits), 0.95);
}

/// Seconds after the crest from which the wait stays at most twice what it was before, or 100 ms.
double recovery(const cluster_simulation &run)
{
    const double bound = std::max(100.0, 2 * waitIn(run, 10'000, crestFrom));
    double since = crestTo;
    for (double from = crestTo; from < durationMs; from += bucketMs) {
        if (waitIn(run, from, from + bucketMs) > bound) {
            since = from + bucketMs;
        }
    }
    return (since - crestTo) / 1000;
}

} // namespace

std::string crest_measurement::name() const
{
    return "crest";
}

std::vector<figure> crest_measurement::run(std::uint64_t seed)
{
    arrival_settings arrivals;
    arrivals.durationMs = durationMs;
    arrivals.load = loadAt;
    // The crest itself is the tenfold swing.
    arrivals.swings = false;
    arrivals.length = heavyTailedLength;
    arrivals.meanTokens = heavyTailedMean;
    arrivals.urgentShare = 0.15;
    arrivals.normalShare = 0.55;
    const std::vector<job> jobs = makeArrivals(arrivals, seed);
    cluster_settings cluster;
    cluster.engine = arrivals.engine;
    cluster.durationMs = durationMs + tailMs;
    cluster.seed = seed;
    const auto ours = runVariant(cluster, adaptive(), jobs);
    const auto first = runVariant(cluster, fifo(cluster.engine.slots), jobs);
    const double urgent = urgentInTime(*ours);
    const double work = workPart(*ours, cluster);
    const double back = recovery(*ours);
    std::vector<figure> lines{
        {"crest/urgent-in-time", urgent, urgentInTime(*first), "share", seed, ">= 0.99", urgent >= 0.99},
        {"crest/work", work, workPart(*first, cluster), "of possible", seed, ">= 0.95", work >= 0.95},
        {"crest/recovery", back, recovery(*first), "s", seed, "<= 5", back <= 5},
    };
    const std::array<const char *, base::workClassCount> names{"urgent", "normal", "batch"};
    for (int index = 0; index < base::workClassCount; ++index) {
        const auto urgency = static_cast<base::work_class>(index);
        const double least = worstService(*ours, urgency);
        lines.push_back({std::string("crest/least-") + names[static_cast<std::size_t>(index)],
                         least,
                         worstService(*first, urgency),
                         "answers in 5 s",
                         seed,
                         "> 0",
                         least > 0});
    }
    return lines;
}

} // namespace chervilbend::measure
