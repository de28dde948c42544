#include <chervilbend/load/checks/not_run_check.hpp>

#include <map>

namespace chervilbend::load
{

std::string not_run_check::name() const
{
    return "4 \"not run\" means not executed";
}

/// A later or a concurrent attempt may execute the order. Therefore only the response that ended last must be true at the end of the
/// run.
check_result not_run_check::check(const run_history &history) const
{
    std::map<std::string, const attempt *> last;
    std::size_t notRunResponses = 0;
    for (const attempt &entry : history.attempts) {
        if (entry.kind != "order") {
            continue;
        }
        notRunResponses += entry.runState == "not run" ? 1 : 0;
        const attempt *&latest = last[entry.subject];
        if (!latest || entry.endMs > latest->endMs) {
            latest = &entry;
        }
    }
    std::vector<std::string> evidence;
    for (const auto &[key, entry] : last) {
        const auto runs = history.runs.find(key);
        if (entry->runState == "not run" && runs != history.runs.end() && runs->second > 0) {
            evidence.push_back("executed " + std::to_string(runs->second) + " times: " + describe(*entry));
        }
    }
    return decide(history.hasRuns ? notRunResponses : 0, "\"not run\" responses", std::move(evidence));
}

} // namespace chervilbend::load
