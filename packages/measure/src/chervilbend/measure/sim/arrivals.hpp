#pragma once

#include <chervilbend/measure/sim/engine_model.hpp>
#include <chervilbend/measure/sim/job.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace chervilbend::measure
{

/// What arrives in a simulated run.
struct arrival_settings {
    int engines = 8;
    int nodes = 3;
    engine_settings engine;
    double durationMs = 120'000;
    /// Offered load over time as part of what the engines can do with full batches.
    std::function<double(double)> load;
    /// Multiplies the load by a factor that jumps between two values tenfold apart, with a mean of 1.
    bool swings = true;
    /// Stretches time so that the offered load is what @p load says at the start; for a constant load. A run of some minutes sees few
    /// swings, and without this its offered load is off by up to a seventh.
    bool exactLoad = false;
    /// Draws the length of a job in tokens and whether it is long.
    std::function<int(std::mt19937_64 &, bool &)> length;
    /// Mean of length.
    double meanTokens = 1;
    /// Whether callers set the bound of generated tokens by the length that they expect; otherwise all set the same.
    bool declaresLength = true;
    /// Shares of urgent and normal work; the rest is batch work.
    double urgentShare = 0;
    double normalShare = 1;
};

/// Poisson arrivals at a rate that swings, the same for every variant of a measurement.
std::vector<job> makeArrivals(const arrival_settings &settings, std::uint64_t seed);

/// A uniform draw from 0 to 1.
double uniform(std::mt19937_64 &random);
/// An exponential draw.
double exponential(std::mt19937_64 &random, double mean);

/// A length from the bounded Pareto distribution with exponent 1.5 between 20 and 2000 tokens: heavy-tailed, as answers are.
int heavyTailedLength(std::mt19937_64 &random, bool &isLong);
/// The mean of heavyTailedLength.
inline constexpr double heavyTailedMean = 54.06;

} // namespace chervilbend::measure
