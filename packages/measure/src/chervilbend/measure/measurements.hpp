#pragma once

#include <chervilbend/measure/measurement.hpp>

#include <memory>
#include <vector>

namespace chervilbend::measure
{

/// All measurements, in the order in which they run.
std::vector<std::unique_ptr<measurement>> allMeasurements();

} // namespace chervilbend::measure
