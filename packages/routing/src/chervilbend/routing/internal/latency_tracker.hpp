#pragma once

#include <chervilbend/base/clock.hpp>

#include <cmath>

namespace chervilbend::routing
{

/// Latency per unit of cost, as the ratio of two exponentially decayed sums.
///
/// A ratio of sums weighs each sample by its cost; a mean of ratios would be dominated by the fixed part of tiny requests.
class latency_tracker
{
public:
    /// Adds a measurement: @p ms milliseconds for @p cost units of work, cost above 0. @p samples is the number of samples it counts for:
    /// each token of a stream is one, so that a node with little traffic recognizes a slow endpoint within its first stream.
    void add(double ms, double cost, long samples, base::time_point now)
    {
        const double decay = sampleDecay * std::exp(-static_cast<double>((now - m_lastTime).count()) / timeConstantMs);
        m_lastTime = now;
        m_ms = m_ms * decay + ms;
        m_cost = m_cost * decay + cost;
        m_samples += samples;
    }

    /// Discards the samples, so that the endpoint is evaluated from new ones only. msPerCost() keeps its value until the next sample.
    void reset()
    {
        m_lastMsPerCost = msPerCost(m_lastMsPerCost);
        m_ms = m_cost = 0;
        m_samples = 0;
    }

    /// Milliseconds per unit of cost, or @p fallback if there is no sample.
    double msPerCost(double fallback) const
    {
        return m_cost > 0 ? m_ms / m_cost : m_lastMsPerCost > 0 ? m_lastMsPerCost : fallback;
    }

    /// Time of the last sample; epoch if there is none.
    base::time_point lastSample() const
    {
        return m_lastTime;
    }

    long samples() const
    {
        return m_samples;
    }

private:
    /// About the last 20 samples count: enough for smoothing, and a change shows within one or two streams.
    static constexpr double sampleDecay = 0.95;
    /// Without decay over time, a node with little traffic would average its first slow stream with fast ones of a minute ago and send a
    /// second request to the slow endpoint before the difference shows.
    static constexpr double timeConstantMs = 3000;

    double m_ms = 0;
    double m_cost = 0;
    double m_lastMsPerCost = 0;
    long m_samples = 0;
    base::time_point m_lastTime;
};

} // namespace chervilbend::routing
