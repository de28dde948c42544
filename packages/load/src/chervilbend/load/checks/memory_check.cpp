#include <chervilbend/load/checks/memory_check.hpp>

#include <map>

namespace chervilbend::load
{

std::string memory_check::name() const
{
    return "1 memory never overcommitted";
}

verdict memory_check::check(const run_history &history) const
{
    std::map<std::string, memory_sample> worst;
    for (const memory_sample &sample : history.memory) {
        memory_sample &kept = worst.try_emplace(sample.endpoint, sample).first->second;
        if (sample.highest > kept.highest) {
            kept = sample;
        }
    }
    std::vector<std::string> evidence;
    for (const auto &[endpoint, sample] : worst) {
        if (sample.highest > sample.capacity) {
            evidence.push_back(endpoint + " counted " + std::to_string(sample.highest) + " of " + std::to_string(sample.capacity) + " bytes in use, seen at "
                               + std::to_string(sample.atMs));
        }
    }
    return decide(worst.size(), "engines", std::move(evidence));
}

} // namespace chervilbend::load
