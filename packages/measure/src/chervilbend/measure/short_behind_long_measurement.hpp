#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Head-of-line blocking: how long short jobs wait when a tenth of the jobs are 20 times as long, at 85% load.
class short_behind_long_measurement : public measurement
{
public:
    std::string name() const override;
    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
