#pragma once

#include <chervilbend/base/clock.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <span>

namespace chervilbend::base
{

/// Count, sum and quantiles of latencies. Quantiles are those of the last complete minute, or of the running one until there is a complete
/// one, so that they follow the present. Memory does not grow with the number of samples.
class latency_summary
{
public:
    latency_summary();
    ~latency_summary();
    latency_summary(const latency_summary &) = delete;
    latency_summary &operator=(const latency_summary &) = delete;

    /// In milliseconds.
    void add(double latency);

    /// The quantiles that are estimated.
    static std::span<const double> probabilities();

    /// The estimate for probabilities()[index]; NaN without samples in the last two minutes.
    double quantile(std::size_t index) const;

    /// Since the start of the process.
    std::int64_t count() const
    {
        return m_count;
    }

    /// Since the start of the process, in milliseconds.
    double sum() const
    {
        return m_sum;
    }

private:
    struct window;

    void rotate() const;

    std::int64_t m_count = 0;
    double m_sum = 0;
    mutable std::unique_ptr<window> m_running;
    mutable std::unique_ptr<window> m_complete;
};

} // namespace chervilbend::base
