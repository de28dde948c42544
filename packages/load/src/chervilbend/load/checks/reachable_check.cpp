#include <chervilbend/load/checks/reachable_check.hpp>

#include <algorithm>
#include <map>

namespace chervilbend::load
{

namespace
{
/// Takeover of a dead owner's lease (7 s), one report interval (2 s) and a load from the weight store (about 2 s), rounded up.
constexpr std::int64_t toleranceMs = 12'000;
} // namespace

std::string reachable_check::name() const
{
    return "2 every model reachable";
}

verdict reachable_check::check(const run_history &history) const
{
    struct seen {
        std::vector<std::int64_t> answers;
        std::int64_t first = INT64_MAX;
        std::int64_t last = 0;
    };
    std::map<std::string, seen> models;
    for (const attempt &entry : history.attempts) {
        if (entry.kind == "order") {
            continue;
        }
        seen &model = models[entry.subject];
        model.first = std::min(model.first, entry.sentMs);
        model.last = std::max(model.last, entry.endMs);
        if (entry.whole) {
            model.answers.push_back(entry.endMs);
        }
    }
    std::vector<std::string> evidence;
    std::int64_t longest = 0;
    for (auto &[name, model] : models) {
        model.answers.push_back(model.last);
        std::sort(model.answers.begin(), model.answers.end());
        std::int64_t before = model.first;
        for (const std::int64_t answer : model.answers) {
            longest = std::max(longest, answer - before);
            if (answer - before > toleranceMs) {
                evidence.push_back(name + " had no whole answer from " + std::to_string(before) + " to " + std::to_string(answer) + ", "
                                   + std::to_string(answer - before) + " ms");
            }
            before = answer;
        }
    }
    return decide(models.size(),
                  "models, longest time without an answer " + std::to_string(longest) + " ms, tolerance " + std::to_string(toleranceMs) + " ms",
                  std::move(evidence));
}

} // namespace chervilbend::load
