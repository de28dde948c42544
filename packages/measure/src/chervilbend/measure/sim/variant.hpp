#pragma once

#include <chervilbend/measure/sim/cluster_simulation.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace chervilbend::measure
{

using director_factory = std::function<std::unique_ptr<routing::traffic_director>(std::uint64_t seed)>;

/// The product's director with its default settings.
director_factory adaptive();
/// The baselines.
director_factory randomChoice();
director_factory roundRobin();
director_factory leastOutstanding();
director_factory fifo(int slots);

/// Runs a variant with its own copy of the arrivals.
std::unique_ptr<cluster_simulation> runVariant(cluster_settings settings, director_factory factory, const std::vector<job> &arrivals);

/// The value that the given part of @p values does not exceed; 0 when there are none.
double quantile(std::vector<double> values, double part);

} // namespace chervilbend::measure
