#include <chervilbend/load/checks/invariant_check.hpp>

#include <chervilbend/load/checks/configuration_check.hpp>
#include <chervilbend/load/checks/leaving_check.hpp>
#include <chervilbend/load/checks/memory_check.hpp>
#include <chervilbend/load/checks/model_availability_check.hpp>
#include <chervilbend/load/checks/not_run_check.hpp>
#include <chervilbend/load/checks/own_answer_check.hpp>
#include <chervilbend/load/checks/planned_stop_check.hpp>
#include <chervilbend/load/checks/single_execution_check.hpp>

#include <utility>

namespace chervilbend::load
{

check_result invariant_check::decide(std::size_t examined, const std::string &scope, std::vector<std::string> evidence)
{
    check_result result;
    result.scope = std::to_string(examined) + ' ' + scope;
    result.evidence = std::move(evidence);
    if (!result.evidence.empty()) {
        result.outcome = check_result::kind::breached;
    } else if (examined > 0) {
        result.outcome = check_result::kind::held;
    }
    return result;
}

std::vector<std::unique_ptr<invariant_check>> allChecks()
{
    std::vector<std::unique_ptr<invariant_check>> checks;
    checks.push_back(std::make_unique<memory_check>());
    checks.push_back(std::make_unique<model_availability_check>());
    checks.push_back(std::make_unique<own_answer_check>());
    checks.push_back(std::make_unique<not_run_check>());
    checks.push_back(std::make_unique<single_execution_check>());
    checks.push_back(std::make_unique<leaving_check>());
    checks.push_back(std::make_unique<planned_stop_check>());
    checks.push_back(std::make_unique<configuration_check>());
    return checks;
}

std::string describe(const attempt &entry)
{
    std::string text = entry.request + " attempt " + std::to_string(entry.number) + " through " + entry.node + ", sent at " + std::to_string(entry.sentMs)
        + ", ended at " + std::to_string(entry.endMs) + ", status " + std::to_string(entry.status);
    if (!entry.runState.empty()) {
        text += ", run \"" + entry.runState + '"';
    }
    return entry.detail.empty() ? text : text + ": " + entry.detail;
}

} // namespace chervilbend::load
