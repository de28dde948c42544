#pragma once

namespace chervilbend::routing
{

/// Estimates a quantile of a stream of positive values in constant memory, by stochastic approximation (Robbins and Monro, 1951) in log
/// space.
class quantile_estimator
{
public:
    /// @p quantile is between 0 and 1.
    explicit quantile_estimator(double quantile);

    /// Adds a value. Values that are not positive are ignored.
    void add(double value);

    /// The estimate; 0 before the first value.
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
