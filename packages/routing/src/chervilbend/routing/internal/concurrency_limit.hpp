#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/director_settings.hpp>

namespace chervilbend::routing
{

/// Adaptive limit on the concurrent requests of an endpoint: additive increase while the limit is reached and latency is low,
/// multiplicative decrease when the time to the first byte per unit of input cost rises too far above the lowest observed (Chiu and
/// Jain, 1989).
///
/// The time to the first byte is used because it reveals a queue inside the endpoint immediately. The time per token rises with the batch
/// size even where the larger batch has the higher throughput.
class concurrency_limit
{
public:
    /// @p slots is the number of requests that the endpoint reports to run concurrently; 0 if it does not report it.
    explicit concurrency_limit(const director_settings &settings, int slots = 0);

    /// Commands.

    void addSample(double msToFirstByte, double inputCost);
    /// Records that this node's share of the limit was reached in the current window, so that the limit may grow.
    void markSaturated()
    {
        m_saturated = true;
    }
    /// Records that the endpoint refused a request because of overload.
    void recordRefusal()
    {
        m_refused = true;
    }
    /// Adjusts the limit if the current window has ended and has enough samples.
    void advance(base::time_point now);

    /// Queries.

    /// The limit on concurrent requests, summed over all nodes.
    double limit() const
    {
        return m_limit;
    }

private:
    void adjust(double msPerCost);
    void decrease();
    double step() const;

    const director_settings &m_settings;
    double m_limit;
    double m_minimum = 1;
    double m_maximum;
    double m_bestMsPerCost = 0;
    /// The limit at the last decrease; 0 before the first.
    double m_limitAtDecrease = 0;
    double m_ms = 0;
    double m_cost = 0;
    int m_samples = 0;
    bool m_saturated = false;
    bool m_refused = false;
    base::time_point m_windowEnd;
};

} // namespace chervilbend::routing
