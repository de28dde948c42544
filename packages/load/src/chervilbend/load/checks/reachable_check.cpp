#include <chervilbend/load/checks/reachable_check.hpp>

#include <algorithm>
#include <map>

namespace chervilbend::load
{

namespace
{
/// Takeover of a dead owner's lease (7 s), one report interval (2 s) and a load from the weight store (about 2 s), rounded up.
constexpr std::int64_t toleranceMs = 12'000;
struct outage {
    std::int64_t start = 0;
    std::int64_t end = 0;
};

/// The longest time from the sending of a failed attempt to the end of the next whole answer. Time in which nobody asked tells nothing.
outage longestOutage(std::vector<const attempt *> attempts)
{
    std::sort(attempts.begin(), attempts.end(), [](const attempt *left, const attempt *right) { return left->endMs < right->endMs; });
    outage longest;
    std::int64_t lastAnswer = 0;
    constexpr std::int64_t none = INT64_MAX;
    std::int64_t failingSince = none;
    for (const attempt *const entry : attempts) {
        // An attempt that was sent before the last whole answer fails only from then on.
        const std::int64_t start = std::max(entry->sentMs, lastAnswer);
        if (!entry->whole) {
            failingSince = std::min(failingSince, start);
        }
        if (failingSince != none && entry->endMs - failingSince > longest.end - longest.start) {
            longest = {failingSince, entry->endMs};
        }
        if (entry->whole) {
            lastAnswer = entry->endMs;
            failingSince = none;
        }
    }
    return longest;
}

} // namespace

std::string reachable_check::name() const
{
    return "2 every model reachable";
}

verdict reachable_check::check(const run_history &history) const
{
    std::map<std::string, std::vector<const attempt *>> models;
    std::vector<std::string> evidence;
    for (const attempt &entry : history.attempts) {
        if (entry.kind != "order") {
            models[entry.subject].push_back(&entry);
        }
        if (entry.kind != "order" && entry.status == 404) {
            evidence.push_back("refused as not declared or not loaded: " + describe(entry));
        }
    }
    std::int64_t longest = 0;
    for (auto &[name, attempts] : models) {
        const outage worst = longestOutage(attempts);
        longest = std::max(longest, worst.end - worst.start);
        if (worst.end - worst.start > toleranceMs) {
            evidence.push_back(name + " was asked for and had no whole answer from " + std::to_string(worst.start) + " to " + std::to_string(worst.end) + ", "
                               + std::to_string(worst.end - worst.start) + " ms");
        }
    }
    return decide(models.size(),
                  "models and adapters, longest time without an answer " + std::to_string(longest) + " ms, tolerance " + std::to_string(toleranceMs) + " ms",
                  std::move(evidence));
}

} // namespace chervilbend::load
