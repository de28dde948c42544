#pragma once

#include <chervilbend/measure/sim/cluster_simulation.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace chervilbend::measure
{

using director_factory = std::function<std::unique_ptr<routing::traffic_director>(std::uint64_t seed)>;

/// The product's traffic director with its default settings.
director_factory adaptive();
/// Baseline directors.
director_factory randomChoice();
director_factory roundRobin();
director_factory leastOutstanding();
director_factory fifo(int slots);

/// Runs a simulation with the given director and its own copy of the arrivals.
std::unique_ptr<cluster_simulation> runVariant(cluster_settings settings, director_factory factory, const std::vector<job> &arrivals);

/// Returns the quantile @p fraction of @p values by the nearest-rank method; 0 if there are none.
double quantile(std::vector<double> values, double fraction);

} // namespace chervilbend::measure
