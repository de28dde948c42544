#include <chervilbend/load/checks/not_run_check.hpp>

#include <map>

namespace chervilbend::load
{

std::string not_run_check::name() const
{
    return "4 \"not run\" truly not run";
}

/// A later attempt may run the order, and so may one that was open at the same time. So the answer that ended last is the one that must be
/// true at the end of the run.
verdict not_run_check::check(const run_history &history) const
{
    std::map<std::string, const attempt *> last;
    std::size_t answers = 0;
    for (const attempt &entry : history.attempts) {
        if (entry.kind != "order") {
            continue;
        }
        answers += entry.run == "not run" ? 1 : 0;
        const attempt *&kept = last[entry.subject];
        if (!kept || entry.endMs > kept->endMs) {
            kept = &entry;
        }
    }
    std::vector<std::string> evidence;
    for (const auto &[key, entry] : last) {
        const auto runs = history.runs.find(key);
        if (entry->run == "not run" && runs != history.runs.end() && runs->second > 0) {
            evidence.push_back("ran " + std::to_string(runs->second) + " times: " + describe(*entry));
        }
    }
    return decide(history.hasRuns ? answers : 0, "answers \"not run\"", std::move(evidence));
}

} // namespace chervilbend::load
