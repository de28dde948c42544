#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Checks that no engine's memory is ever overcommitted under random fault schedules. Each seed runs 3,400 schedules, so that the default
/// of 3 seeds runs more than 10,000.
class memory_measurement : public measurement
{
public:
    std::string name() const override;
    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
