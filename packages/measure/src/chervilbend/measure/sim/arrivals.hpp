#pragma once

#include <chervilbend/measure/sim/engine_model.hpp>
#include <chervilbend/measure/sim/job.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace chervilbend::measure
{

/// Workload of a simulated run.
struct arrival_settings {
    int engines = 8;
    int nodes = 3;
    engine_settings engine;
    double durationMs = 120'000;
    /// Offered load at a time in milliseconds, as a fraction of the engines' throughput with full batches.
    std::function<double(double)> load;
    /// Multiplies the load by a factor that alternates between two values, one ten times the other, with a mean of 1.
    bool bursty = true;
    /// Scales the arrival times so that the offered load is exactly that of @p load at time 0; only for a constant load. A run of some
    /// minutes contains few bursts, and without this its offered load is off by up to a seventh.
    bool exactLoad = false;
    /// Draws the length of a job in tokens, and sets whether the job is long.
    std::function<int(std::mt19937_64 &, bool &)> length;
    /// Mean of the lengths that @p length draws.
    double meanTokens = 1;
    /// Whether callers derive max_tokens from the length they expect; otherwise all set the same value.
    bool declaresLength = true;
    /// Shares of urgent and normal jobs; the rest are batch jobs.
    double urgentShare = 0;
    double normalShare = 1;
};

/// Generates Poisson arrivals with a varying rate. The same seed gives the same arrivals, so that all variants of a measurement share them.
std::vector<job> makeArrivals(const arrival_settings &settings, std::uint64_t seed);

/// Draws uniformly from [0, 1).
double uniform(std::mt19937_64 &random);
/// Draws from the exponential distribution with the given mean.
double exponential(std::mt19937_64 &random, double mean);

/// Draws a length from the bounded Pareto distribution with exponent 1.5 between 20 and 2000 tokens, since the lengths of real answers
/// are heavy-tailed.
int heavyTailedLength(std::mt19937_64 &random, bool &isLong);
/// The mean of heavyTailedLength.
inline constexpr double heavyTailedMean = 54.06;

} // namespace chervilbend::measure
