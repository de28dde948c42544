#pragma once

namespace chervilbend::routing
{

/// A running quantile of positive values by stochastic approximation (Robbins and Monro, 1951) in log space, in constant memory.
class quantile_estimator
{
public:
    /// @p quantile between 0 and 1.
    explicit quantile_estimator(double quantile);

    void add(double value);

    /// 0 without a value.
    double value() const
    {
        return m_value;
    }

    long count() const
    {
        return m_count;
    }

private:
    double m_quantile;
    double m_value = 0;
    long m_count = 0;
};

} // namespace chervilbend::routing
