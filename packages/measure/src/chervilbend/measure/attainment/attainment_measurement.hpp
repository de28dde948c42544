#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Compares deadline attainment on the same accelerators over one day of demand, and the moves it takes, with static placement and with a
/// greedy planner.
class attainment_measurement : public measurement
{
public:
    std::string name() const override
    {
        return "attainment";
    }

    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
