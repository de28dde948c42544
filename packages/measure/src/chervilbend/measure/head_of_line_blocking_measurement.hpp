#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Head-of-line blocking: the waiting time of short jobs at 85% load when a tenth of the jobs are 20 times as long.
class head_of_line_blocking_measurement : public measurement
{
public:
    std::string name() const override;
    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
