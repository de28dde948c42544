#pragma once

#include <functional>
#include <utility>

namespace chervilbend::base
{

/// A metric whose value can increase and decrease. It is either set, or read from a source each time the metrics are exported.
class gauge
{
public:
    void set(double value)
    {
        m_value = value;
    }

    /// @p source must stay valid as long as the registry exports the gauge.
    void readFrom(std::function<double()> source)
    {
        m_source = std::move(source);
    }

    double value() const
    {
        return m_source ? m_source() : m_value;
    }

private:
    double m_value = 0;
    std::function<double()> m_source;
};

} // namespace chervilbend::base
