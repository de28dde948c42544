#include <chervilbend/measure/measurements.hpp>

#include <chervilbend/measure/at_most_once_measurement.hpp>
#include <chervilbend/measure/attainment/attainment_measurement.hpp>
#include <chervilbend/measure/attainment/planner_pass_measurement.hpp>
#include <chervilbend/measure/decision_cost_measurement.hpp>
#include <chervilbend/measure/head_of_line_blocking_measurement.hpp>
#include <chervilbend/measure/load_peak_measurement.hpp>
#include <chervilbend/measure/memory_measurement.hpp>
#include <chervilbend/measure/poison_measurement.hpp>
#include <chervilbend/measure/proxy/account_cost_measurement.hpp>
#include <chervilbend/measure/proxy/proxy_measurement.hpp>
#include <chervilbend/measure/slow_engine_measurement.hpp>
#include <chervilbend/measure/takeover/takeover_measurement.hpp>

namespace chervilbend::measure
{

std::vector<std::unique_ptr<measurement>> allMeasurements()
{
    std::vector<std::unique_ptr<measurement>> all;
    all.push_back(std::make_unique<head_of_line_blocking_measurement>());
    all.push_back(std::make_unique<load_peak_measurement>());
    all.push_back(std::make_unique<slow_engine_measurement>());
    all.push_back(std::make_unique<poison_measurement>());
    all.push_back(std::make_unique<at_most_once_measurement>());
    all.push_back(std::make_unique<attainment_measurement>());
    all.push_back(std::make_unique<planner_pass_measurement>());
    all.push_back(std::make_unique<takeover_measurement>());
    all.push_back(std::make_unique<memory_measurement>());
    all.push_back(std::make_unique<decision_cost_measurement>());
    all.push_back(std::make_unique<proxy_measurement>());
    all.push_back(std::make_unique<account_cost_measurement>());
    return all;
}

} // namespace chervilbend::measure
