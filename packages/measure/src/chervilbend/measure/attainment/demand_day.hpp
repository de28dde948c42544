#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace chervilbend::measure
{

/// One day's demand for a number of models, second by second. The same seed gives the same day.
///
/// Each model alternates between a low level (0.08 to 0.25 endpoints) and ten times as much, a fifth of the day in all; the way up and
/// the way down take 10 to 60 min each. Short-term noise with a deviation of a fifth and a correlation time of 10 s lies on top.
class demand_day
{
public:
    static constexpr int seconds = 24 * 3'600;

    demand_day(int models, std::uint64_t seed);

    /// Offered work in endpoints.
    double at(int model, int second) const
    {
        return m_demand[static_cast<std::size_t>(model)][static_cast<std::size_t>(second)];
    }

    double mean(int model) const;

private:
    std::vector<float> makeDay(std::mt19937_64 &random) const;

    std::vector<std::vector<float>> m_demand;
};

} // namespace chervilbend::measure
