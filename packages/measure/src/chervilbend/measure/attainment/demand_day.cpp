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

/// A standard normal draw (Box and Muller 1958); the standard library's differs between implementations.
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
        m_demand.push_back(makeDay(random));
    }
}

std::vector<float> demand_day::makeDay(std::mt19937_64 &random) const
{
    constexpr double low = 0.08;
    constexpr double high = 0.25;
    const double base = uniform(random, low, high);
    std::vector<float> day;
    day.reserve(seconds);
    const auto ramp = [&day](double from, double to, int duration) {
        for (int second = 0; second < duration; ++second) {
            // Even in the logarithm: tenfold within the ramp.
            day.push_back(static_cast<float>(from * std::pow(to / from, static_cast<double>(second) / duration)));
        }
    };
    ramp(base, base, static_cast<int>(uniform(random, 0, 4 * 3'600)));
    while (day.size() < seconds) {
        // Ramps of 35 min and 45 min at the top against 5 h at the bottom give a fifth of the day above the middle.
        ramp(base, 10 * base, static_cast<int>(uniform(random, 600, 3'600)));
        ramp(10 * base, 10 * base, static_cast<int>(uniform(random, 1'200, 4'200)));
        ramp(10 * base, base, static_cast<int>(uniform(random, 600, 3'600)));
        ramp(base, base, static_cast<int>(uniform(random, 2 * 3'600, 8 * 3'600)));
    }
    day.resize(seconds);
    constexpr double deviation = 0.2;
    const double keep = std::exp(-1.0 / 10.0);
    double noise = 0;
    for (float &value : day) {
        noise = keep * noise + std::sqrt(1 - keep * keep) * deviation * normal(random);
        value *= static_cast<float>(std::max(0.0, 1 + noise));
    }
    return day;
}

double demand_day::mean(int model) const
{
    const std::vector<float> &day = m_demand[static_cast<std::size_t>(model)];
    return std::accumulate(day.begin(), day.end(), 0.0) / seconds;
}

} // namespace chervilbend::measure
