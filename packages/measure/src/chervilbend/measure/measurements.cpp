#include <chervilbend/measure/measurements.hpp>

#include <chervilbend/measure/proxy/proxy_measurement.hpp>

namespace chervilbend::measure
{

std::vector<std::unique_ptr<measurement>> allMeasurements()
{
    std::vector<std::unique_ptr<measurement>> all;
    all.push_back(std::make_unique<proxy_measurement>());
    return all;
}

} // namespace chervilbend::measure
