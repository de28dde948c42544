#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/routing/director_settings.hpp>

namespace chervilbend::routing
{

/// How many requests an endpoint takes at once: additive increase while it is used up and latency is good, multiplicative decrease
/// when the time to the first byte per unit of input cost rises above the best seen (Chiu and Jain, 1989).
///
/// The time to the first byte shows a queue inside the endpoint at once; the time per token rises with every larger batch, also
/// where the larger batch does more work.
class concurrency_limit
{
public:
    /// @p slots is the number of requests that the endpoint says it runs at once; 0 when it does not say.
    explicit concurrency_limit(const director_settings &settings, int slots = 0);

    /// Commands.

    void addSample(double msToFirstByte, double inputCost);
    /// This node's share was used up since the last window, so that more may be tried.
    void noteUsedUp()
    {
        m_usedUp = true;
    }
    /// The endpoint refused a request for overload.
    void noteRefused()
    {
        m_refused = true;
    }
    /// Closes the window when it is due.
    void advance(base::time_point now);

    /// Queries.

    /// Requests over all nodes.
    double limit() const
    {
        return m_limit;
    }

private:
    void judge(double msPerCost);
    void decrease();
    double step() const;

    const director_settings &m_settings;
    double m_limit;
    double m_least = 1;
    double m_most;
    double m_best = 0;
    /// The limit at the last decrease; 0 before the first.
    double m_ceiling = 0;
    double m_ms = 0;
    double m_cost = 0;
    int m_samples = 0;
    bool m_usedUp = false;
    bool m_refused = false;
    base::time_point m_windowEnd;
};

} // namespace chervilbend::routing
