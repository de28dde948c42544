#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace chervilbend::measure
{

/// Demand for a number of models over one day, with a resolution of 1 s. The same seed gives the same demand.
///
/// Each model alternates between a low level (the work of 0.08 to 0.25 endpoints) and a tenfold level. It is above the geometric mean of
/// the two for a fifth of the day in all. Each ramp takes 10 to 60 min. Noise with a relative standard deviation of 0.2 and a correlation
/// time of 10 s is added.
class demand_day
{
public:
    static constexpr int seconds = 24 * 3'600;

    demand_day(int models, std::uint64_t seed);

    /// Offered load in units of one endpoint's capacity.
    double at(int model, int second) const
    {
        return m_demand[static_cast<std::size_t>(model)][static_cast<std::size_t>(second)];
    }

    double mean(int model) const;

private:
    std::vector<float> makeModelDemand(std::mt19937_64 &random) const;

    std::vector<std::vector<float>> m_demand;
};

} // namespace chervilbend::measure
