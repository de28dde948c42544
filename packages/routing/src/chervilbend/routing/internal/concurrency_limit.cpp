#include <chervilbend/routing/internal/concurrency_limit.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// Minimum number of samples per window. With fewer, the window is extended.
constexpr int samplesPerWindow = 4;
constexpr double decreaseFactor = 0.9;
/// Relative growth per window until the first decrease. With steps of 1, engines stayed partly idle for 10 s of a load peak.
constexpr double rampUpFactor = 0.15;
/// Growth per window near the limit at which latency last rose, as in CUBIC (RFC 9438). Each step beyond the endpoint's slots makes
/// requests wait inside the endpoint, where short ones cannot overtake long ones.
constexpr double cautiousStep = 0.1;
constexpr double nearFactor = 0.95;
/// Rate per window at which the lowest latency drifts towards the current one, so that an outdated minimum fades within minutes.
constexpr double bestLatencyDrift = 0.0005;

} // namespace

concurrency_limit::concurrency_limit(const director_settings &settings, int slots)
    : m_settings(settings)
    , m_limit(settings.initialLimit)
    , m_maximum(settings.maximumLimit)
{
    if (slots > 0) {
        constexpr double minimumShare = 0.5;
        m_limit = m_maximum = std::max(1.0, settings.slotFactor * slots);
        m_minimum = std::max(1.0, minimumShare * slots);
    }
}

void concurrency_limit::addSample(double msToFirstByte, double inputCost)
{
    m_ms += msToFirstByte;
    m_cost += inputCost;
    ++m_samples;
}

void concurrency_limit::advance(base::time_point now)
{
    if (now < m_windowEnd) {
        return;
    }
    if (m_refused) {
        decrease();
    } else if (m_samples >= samplesPerWindow) {
        adjust(m_ms / m_cost);
    } else {
        return;
    }
    m_windowEnd = now + m_settings.window;
    m_ms = m_cost = 0;
    m_samples = 0;
    m_saturated = m_refused = false;
}

void concurrency_limit::adjust(double msPerCost)
{
    // Latencies below the clock's resolution cannot be compared.
    const double observed = std::max(msPerCost, 1.0);
    m_bestMsPerCost = m_bestMsPerCost == 0 || observed < m_bestMsPerCost ? observed : m_bestMsPerCost + (observed - m_bestMsPerCost) * bestLatencyDrift;
    if (observed > m_settings.latencyTolerance * m_bestMsPerCost) {
        decrease();
    } else if (m_saturated) {
        m_limit = std::min(m_maximum, m_limit + step());
    }
}

double concurrency_limit::step() const
{
    if (m_limitAtDecrease == 0) {
        return std::max(1.0, m_limit * rampUpFactor);
    }
    const bool isNearLastDecrease = m_limit > m_limitAtDecrease * nearFactor && m_limit < m_limitAtDecrease / nearFactor;
    return isNearLastDecrease ? cautiousStep : 1;
}

void concurrency_limit::decrease()
{
    m_limitAtDecrease = m_limit;
    m_limit = std::max(m_minimum, m_limit * decreaseFactor);
}

} // namespace chervilbend::routing
