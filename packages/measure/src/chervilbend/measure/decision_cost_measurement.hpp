#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Processor time that the director takes per request, from submission to the end, with 16 and 64 endpoints. The only routing
/// measurement in real time.
class decision_cost_measurement : public measurement
{
public:
    std::string name() const override;
    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
