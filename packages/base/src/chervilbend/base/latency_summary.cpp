#include <chervilbend/base/latency_summary.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace acc = boost::accumulators;

namespace chervilbend::base
{

namespace
{

constexpr std::array quantileProbabilities{0.5, 0.9, 0.99, 0.999};
constexpr milliseconds windowLength{60'000};
/// The estimates of the P-square estimator (Jain and Chlamtac, 1985) are meaningless until it has more samples than markers (11 for four
/// quantiles); up to this number of samples, quantiles are computed from the samples themselves.
constexpr std::size_t maxExactSamples = 64;

using estimator = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

} // namespace

struct latency_summary::window {
    time_point start = clock::now();
    std::size_t count = 0;
    std::array<double, maxExactSamples> first{};
    estimator estimate{acc::tag::extended_p_square::probabilities = quantileProbabilities};

    double quantile(std::size_t index) const
    {
        if (count == 0) {
            return std::numeric_limits<double>::quiet_NaN();
        }
        if (count > maxExactSamples) {
            return acc::extended_p_square(estimate)[static_cast<std::ptrdiff_t>(index)];
        }
        std::array<double, maxExactSamples> sorted = first;
        const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
        std::sort(sorted.begin(), end);
        const auto rank = static_cast<std::size_t>(std::ceil(quantileProbabilities.at(index) * static_cast<double>(count)));
        return sorted[std::max<std::size_t>(rank, 1) - 1];
    }
};

latency_summary::latency_summary()
    : m_current(std::make_unique<window>())
{
}

latency_summary::~latency_summary() = default;

void latency_summary::add(double latency)
{
    rotate();
    ++m_count;
    m_sum += latency;
    m_current->estimate(latency);
    if (m_current->count < maxExactSamples) {
        m_current->first[m_current->count] = latency;
    }
    ++m_current->count;
}

std::span<const double> latency_summary::probabilities()
{
    return quantileProbabilities;
}

double latency_summary::quantile(std::size_t index) const
{
    rotate();
    const window &source = m_complete ? *m_complete : *m_current;
    return source.quantile(index);
}

void latency_summary::rotate() const
{
    const milliseconds age = clock::now() - m_current->start;
    if (age >= 2 * windowLength) {
        // The current window ended at least one window length ago and got no samples since.
        m_complete.reset();
        m_current = std::make_unique<window>();
    } else if (age >= windowLength) {
        m_complete = std::exchange(m_current, std::make_unique<window>());
    }
}

} // namespace chervilbend::base
