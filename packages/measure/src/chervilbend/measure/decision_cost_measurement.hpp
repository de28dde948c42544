#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Time that the traffic director takes per request, from submission to completion, with 16 and 64 endpoints. The only routing
/// measurement that runs in real time.
class decision_cost_measurement : public measurement
{
public:
    std::string name() const override;
    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
