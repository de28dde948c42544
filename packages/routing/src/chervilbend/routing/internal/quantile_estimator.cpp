#include <chervilbend/routing/internal/quantile_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace chervilbend::routing
{

quantile_estimator::quantile_estimator(double quantile)
    : m_quantile(quantile)
{
}

void quantile_estimator::add(double value)
{
    if (!(value > 0)) {
        return;
    }
    if (++m_count == 1) {
        m_value = value;
        return;
    }
    // Large initial steps find the right magnitude. The lower bound of the step lets the estimate follow later changes.
    const double step = std::max(0.05, 1.0 / std::sqrt(static_cast<double>(m_count)));
    m_value *= std::exp(step * (value > m_value ? m_quantile : m_quantile - 1));
}

} // namespace chervilbend::routing
