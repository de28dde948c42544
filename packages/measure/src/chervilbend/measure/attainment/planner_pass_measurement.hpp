#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Real time of one pass of the planner at the target size: 880 endpoints, 230 models.
class planner_pass_measurement : public measurement
{
public:
    std::string name() const override
    {
        return "planner-pass";
    }

    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
