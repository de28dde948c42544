#pragma once

#include <chervilbend/base/clock.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::routing
{

/// Latency per unit of cost, as the ratio of two exponentially decayed sums.
///
/// A ratio of sums weighs each sample by its cost; a mean of ratios would be dominated by the fixed part of tiny requests.
class latency_tracker
{
public:
    /// Adds a span of a request: @p ms for @p cost units of work, cost above 0. Each generated token is a sample of the endpoint's speed,
    /// so that a node that sends little recognizes a slow endpoint within its first stream.
    void add(double ms, double cost, base::time_point now)
    {
        const double decay = sampleDecay * std::exp(-static_cast<double>((now - m_lastTime).count()) / timeConstantMs);
        m_lastTime = now;
        m_ms = m_ms * decay + ms;
        m_cost = m_cost * decay + cost;
        m_samples += cost < 1 ? 1 : static_cast<long>(std::min(cost, 1e6));
    }

    /// Forgets the samples, for an endpoint that is judged afresh. The ratio stays until the next sample.
    void restart()
    {
        m_last = msPerCost(m_last);
        m_ms = m_cost = 0;
        m_samples = 0;
    }

    /// Milliseconds per unit of cost, @p otherwise without a sample.
    double msPerCost(double otherwise) const
    {
        return m_cost > 0 ? m_ms / m_cost : m_last > 0 ? m_last : otherwise;
    }

    /// When the last sample was taken; epoch when there is none.
    base::time_point lastSample() const
    {
        return m_lastTime;
    }

    long samples() const
    {
        return m_samples;
    }

private:
    /// The last 20 or so samples count: enough to smooth, and a change shows within one or two streams.
    static constexpr double sampleDecay = 0.95;
    /// Without decay in time, a node that sends little mixes its first slow stream with healthy ones of a minute ago, and sends a second
    /// request to the slow endpoint before it sees the difference.
    static constexpr double timeConstantMs = 3000;

    double m_ms = 0;
    double m_cost = 0;
    double m_last = 0;
    long m_samples = 0;
    base::time_point m_lastTime;
};

} // namespace chervilbend::routing
