#include <chervilbend/routing/internal/concurrency_limit.hpp>

#include <algorithm>

namespace chervilbend::routing
{

namespace
{

/// Samples that a window needs; with fewer it stays open.
constexpr int samplesPerWindow = 4;
constexpr double decreaseFactor = 0.9;
/// Growth per window until the limit is found for the first time: with single steps, engines stayed partly idle for 10 s of a crest.
constexpr double startFactor = 0.15;
/// Growth per window near the limit at which latency last rose, as in CUBIC (RFC 9438): each step beyond the endpoint's slots makes
/// requests wait inside the endpoint, where short work cannot overtake.
constexpr double carefulStep = 0.1;
constexpr double nearFactor = 0.95;
/// Part by which the best latency follows the present one per window, so that it is forgotten within some minutes.
constexpr double bestDrift = 0.0005;

} // namespace

concurrency_limit::concurrency_limit(const director_settings &settings, int slots)
    : m_settings(settings)
    , m_limit(settings.initialLimit)
    , m_most(settings.maximumLimit)
{
    if (slots > 0) {
        constexpr double leastShare = 0.5;
        m_limit = m_most = std::max(1.0, settings.slotFactor * slots);
        m_least = std::max(1.0, leastShare * slots);
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
        judge(m_ms / m_cost);
    } else {
        return;
    }
    m_windowEnd = now + m_settings.window;
    m_ms = m_cost = 0;
    m_samples = 0;
    m_usedUp = m_refused = false;
}

void concurrency_limit::judge(double msPerCost)
{
    // Latency below the clock's resolution gives no ratio to compare.
    const double seen = std::max(msPerCost, 1.0);
    m_best = m_best == 0 || seen < m_best ? seen : m_best + (seen - m_best) * bestDrift;
    if (seen > m_settings.latencyTolerance * m_best) {
        decrease();
    } else if (m_usedUp) {
        m_limit = std::min(m_most, m_limit + step());
    }
}

double concurrency_limit::step() const
{
    if (m_ceiling == 0) {
        return std::max(1.0, m_limit * startFactor);
    }
    const bool nearCeiling = m_limit > m_ceiling * nearFactor && m_limit < m_ceiling / nearFactor;
    return nearCeiling ? carefulStep : 1;
}

void concurrency_limit::decrease()
{
    m_ceiling = m_limit;
    m_limit = std::max(m_least, m_limit * decreaseFactor);
}

} // namespace chervilbend::routing
