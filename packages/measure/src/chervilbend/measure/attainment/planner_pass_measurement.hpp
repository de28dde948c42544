#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Wall-clock time of one planner pass at the target size of 880 endpoints and 230 models.
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
