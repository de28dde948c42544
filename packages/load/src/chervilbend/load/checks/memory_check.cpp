#include <chervilbend/load/checks/memory_check.hpp>

#include <map>

namespace chervilbend::load
{

std::string memory_check::name() const
{
    return "1 memory never overcommitted";
}

check_result memory_check::check(const run_history &history) const
{
    std::map<std::string, memory_sample> highestByEngine;
    for (const memory_sample &sample : history.memory) {
        memory_sample &highest = highestByEngine.try_emplace(sample.endpoint, sample).first->second;
        if (sample.highestBytes > highest.highestBytes) {
            highest = sample;
        }
    }
    std::vector<std::string> evidence;
    for (const auto &[endpoint, sample] : highestByEngine) {
        if (sample.highestBytes > sample.capacityBytes) {
            evidence.push_back(endpoint + " used " + std::to_string(sample.highestBytes) + " of " + std::to_string(sample.capacityBytes) + " bytes, sampled at "
                               + std::to_string(sample.atMs));
        }
    }
    return decide(highestByEngine.size(), "engines", std::move(evidence));
}

} // namespace chervilbend::load
