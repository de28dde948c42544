#include <chervilbend/measure/measurements.hpp>

#include <chervilbend/measure/attainment/attainment_measurement.hpp>
#include <chervilbend/measure/attainment/planner_pass_measurement.hpp>
#include <chervilbend/measure/crest_measurement.hpp>
#include <chervilbend/measure/decision_cost_measurement.hpp>
#include <chervilbend/measure/memory_measurement.hpp>
#include <chervilbend/measure/once_measurement.hpp>
#include <chervilbend/measure/poison_measurement.hpp>
#include <chervilbend/measure/proxy/proxy_measurement.hpp>
#include <chervilbend/measure/short_behind_long_measurement.hpp>
#include <chervilbend/measure/slowed_measurement.hpp>
#include <chervilbend/measure/takeover/takeover_measurement.hpp>

namespace chervilbend::measure
{

std::vector<std::unique_ptr<measurement>> allMeasurements()
{
    std::vector<std::unique_ptr<measurement>> all;
    all.push_back(std::make_unique<short_behind_long_measurement>());
    all.push_back(std::make_unique<crest_measurement>());
    all.push_back(std::make_unique<slowed_measurement>());
    all.push_back(std::make_unique<poison_measurement>());
    all.push_back(std::make_unique<once_measurement>());
    all.push_back(std::make_unique<attainment_measurement>());
    all.push_back(std::make_unique<planner_pass_measurement>());
    all.push_back(std::make_unique<takeover_measurement>());
    all.push_back(std::make_unique<memory_measurement>());
    all.push_back(std::make_unique<decision_cost_measurement>());
    all.push_back(std::make_unique<proxy_measurement>());
    return all;
}

} // namespace chervilbend::measure
