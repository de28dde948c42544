#include <chervilbend/load/checks/model_availability_check.hpp>

#include <algorithm>
#include <map>

namespace chervilbend::load
{

namespace
{
/// Takeover of a failed owner's lease (7 s), one report interval (2 s) and a load from the weight store (about 2 s), rounded up.
constexpr std::int64_t toleranceMs = 12'000;
struct outage {
    std::int64_t start = 0;
    std::int64_t end = 0;
};

/// The longest time from the start of a failed attempt to the end of the next complete response. Time without requests does not count.
outage longestOutage(std::vector<const attempt *> attempts)
{
    std::sort(attempts.begin(), attempts.end(), [](const attempt *left, const attempt *right) { return left->endMs < right->endMs; });
    outage longest;
    std::int64_t lastAnswer = 0;
    constexpr std::int64_t none = INT64_MAX;
    std::int64_t failingSince = none;
    for (const attempt *const entry : attempts) {
        // For an attempt that was sent before the last complete response, the outage starts at that response.
        const std::int64_t start = std::max(entry->sentMs, lastAnswer);
        if (!entry->isComplete) {
            failingSince = std::min(failingSince, start);
        }
        if (failingSince != none && entry->endMs - failingSince > longest.end - longest.start) {
            longest = {failingSince, entry->endMs};
        }
        if (entry->isComplete) {
            lastAnswer = entry->endMs;
            failingSince = none;
        }
    }
    return longest;
}

} // namespace

std::string model_availability_check::name() const
{
    return "2 every model reachable";
}

check_result model_availability_check::check(const run_history &history) const
{
    std::map<std::string, std::vector<const attempt *>> models;
    std::vector<std::string> evidence;
    for (const attempt &entry : history.attempts) {
        if (entry.kind != "order") {
            models[entry.subject].push_back(&entry);
        }
        if (entry.kind != "order" && entry.status == 404) {
            evidence.push_back("refused with status 404 as not declared or not loaded: " + describe(entry));
        }
    }
    std::int64_t longest = 0;
    for (auto &[name, attempts] : models) {
        const outage longestOfModel = longestOutage(attempts);
        longest = std::max(longest, longestOfModel.end - longestOfModel.start);
        if (longestOfModel.end - longestOfModel.start > toleranceMs) {
            evidence.push_back(name + " was requested but had no complete response from " + std::to_string(longestOfModel.start) + " to "
                               + std::to_string(longestOfModel.end) + ", " + std::to_string(longestOfModel.end - longestOfModel.start) + " ms");
        }
    }
    return decide(models.size(),
                  "models and adapters, longest time without a response " + std::to_string(longest) + " ms, tolerance " + std::to_string(toleranceMs) + " ms",
                  std::move(evidence));
}

} // namespace chervilbend::load
