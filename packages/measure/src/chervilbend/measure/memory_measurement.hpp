#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Whether any engine's memory is ever overcommitted under random schedules of faults. A seed stands for 3,400 schedules, so that the
/// default of 3 seeds gives more than 10,000.
class memory_measurement : public measurement
{
public:
    std::string name() const override;
    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
