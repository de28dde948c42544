#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Deadline attainment per accelerator over a day's demand, and what it costs in moves, against static placement and a greedy planner.
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
