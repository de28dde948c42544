#pragma once

#include <chervilbend/base/clock.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <span>

namespace chervilbend::base
{

/// Count, sum and quantiles of latencies. Quantiles are those of the last complete minute, or of the current one until there is a complete
/// one, so that they reflect recent samples only. Memory use does not depend on the number of samples.
class latency_summary
{
public:
    latency_summary();
    ~latency_summary();
    latency_summary(const latency_summary &) = delete;
    latency_summary &operator=(const latency_summary &) = delete;

    /// Adds a sample, in milliseconds.
    void add(double latency);

    /// The probabilities of the estimated quantiles, each between 0 and 1.
    static std::span<const double> probabilities();

    /// The estimate for probabilities()[index]; NaN without samples in the last two minutes.
    double quantile(std::size_t index) const;

    /// Number of samples since the summary was created.
    std::int64_t count() const
    {
        return m_count;
    }

    /// Sum of all samples since the summary was created, in milliseconds.
    double sum() const
    {
        return m_sum;
    }

private:
    struct window;

    void rotate() const;

    std::int64_t m_count = 0;
    double m_sum = 0;
    mutable std::unique_ptr<window> m_current;
    mutable std::unique_ptr<window> m_complete;
};

} // namespace chervilbend::base
