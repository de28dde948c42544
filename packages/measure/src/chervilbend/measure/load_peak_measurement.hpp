#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Service under overload: the offered load rises tenfold within 5 s, to three times the engines' capacity, and stays there for 30 s.
class load_peak_measurement : public measurement
{
public:
    std::string name() const override;
    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
