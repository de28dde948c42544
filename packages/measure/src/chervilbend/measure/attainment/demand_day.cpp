#include <chervilbend/measure/attainment/demand_day.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chervilbend::measure
{

namespace
{

double uniform(std::mt19937_64 &random, double low, double high)
{
    return low + (high - low) * static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

/// Draws from the standard normal distribution by the Box-Muller transform; std::normal_distribution gives different values in different
/// standard libraries.
double normal(std::mt19937_64 &random)
{
    const double first = 1.0 - uniform(random, 0, 1);
    return std::sqrt(-2.0 * std::log(first)) * std::cos(6.283185307179586 * uniform(random, 0, 1));
}

} // namespace

demand_day::demand_day(int models, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    m_demand.reserve(static_cast<std::size_t>(models));
    for (int model = 0; model < models; ++model) {
        m_demand.push_back(makeModelDemand(random));
    }
}

std::vector<float> demand_day::makeModelDemand(std::mt19937_64 &random) const
{
    constexpr double low = 0.08;
    constexpr double high = 0.25;
    const double base = uniform(random, low, high);
    std::vector<float> demand;
    demand.reserve(seconds);
    const auto ramp = [&demand](double from, double to, int duration) {
        for (int second = 0; second < duration; ++second) {
            // Exponential growth: linear in the logarithm.
            demand.push_back(static_cast<float>(from * std::pow(to / from, static_cast<double>(second) / duration)));
        }
    };
    ramp(base, base, static_cast<int>(uniform(random, 0, 4 * 3'600)));
    while (demand.size() < seconds) {
        // On average two ramps of 35 min, 45 min at the high level and 5 h at the low level. So the demand is above the geometric
        // mean of the two levels for a fifth of the day.
        ramp(base, 10 * base, static_cast<int>(uniform(random, 600, 3'600)));
        ramp(10 * base, 10 * base, static_cast<int>(uniform(random, 1'200, 4'200)));
        ramp(10 * base, base, static_cast<int>(uniform(random, 600, 3'600)));
        ramp(base, base, static_cast<int>(uniform(random, 2 * 3'600, 8 * 3'600)));
    }
    demand.resize(seconds);
    constexpr double deviation = 0.2;
    const double correlation = std::exp(-1.0 / 10.0);
    double noise = 0;
    for (float &value : demand) {
        noise = correlation * noise + std::sqrt(1 - correlation * correlation) * deviation * normal(random);
        value *= static_cast<float>(std::max(0.0, 1 + noise));
    }
    return demand;
}

double demand_day::mean(int model) const
{
    const std::vector<float> &demand = m_demand[static_cast<std::size_t>(model)];
    return std::accumulate(demand.begin(), demand.end(), 0.0) / seconds;
}

} // namespace chervilbend::measure
