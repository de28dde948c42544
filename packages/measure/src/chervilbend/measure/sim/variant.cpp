#include <chervilbend/measure/sim/variant.hpp>

#include <chervilbend/measure/baselines/fifo_director.hpp>
#include <chervilbend/measure/baselines/least_outstanding_director.hpp>
#include <chervilbend/measure/baselines/random_director.hpp>
#include <chervilbend/measure/baselines/round_robin_director.hpp>
#include <chervilbend/routing/adaptive_director.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::measure
{

director_factory adaptive()
{
    return [](std::uint64_t seed) {
        return routing::makeAdaptiveDirector(seed);
    };
}

director_factory randomChoice()
{
    return [](std::uint64_t seed) {
        return std::make_unique<random_director>(seed);
    };
}

director_factory roundRobin()
{
    return [](std::uint64_t seed) {
        return std::make_unique<round_robin_director>(seed);
    };
}

director_factory leastOutstanding()
{
    return [](std::uint64_t) {
        return std::make_unique<least_outstanding_director>();
    };
}

director_factory fifo(int slots)
{
    return [slots](std::uint64_t) {
        return std::make_unique<fifo_director>(slots);
    };
}

std::unique_ptr<cluster_simulation> runVariant(cluster_settings settings, director_factory factory, const std::vector<job> &arrivals)
{
    settings.director = std::move(factory);
    auto simulation = std::make_unique<cluster_simulation>(settings, arrivals);
    simulation->run();
    return simulation;
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(std::min(values.size(), std::max<std::size_t>(1, rank)) - 1);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace chervilbend::measure
