#pragma once

#include <chervilbend/measure/measurement.hpp>

namespace chervilbend::measure
{

/// Checks that non-idempotent orders run at most once, and that the answers "ran" and "not run" are correct, under kills, pauses, lost
/// answers and log outages.
class at_most_once_measurement : public measurement
{
public:
    std::string name() const override;
    std::vector<figure> run(std::uint64_t seed) override;
};

} // namespace chervilbend::measure
