#include <chervilbend/load/checks/single_execution_check.hpp>

#include <map>

namespace chervilbend::load
{

std::string single_execution_check::name() const
{
    return "5 at most one execution per order";
}

check_result single_execution_check::check(const run_history &history) const
{
    std::vector<std::string> evidence;
    for (const auto &[key, runs] : history.runs) {
        if (runs > 1) {
            evidence.push_back(key + " ran " + std::to_string(runs) + " times");
        }
    }
    std::map<std::string, const attempt *> orders;
    std::size_t unknown = 0;
    for (const attempt &entry : history.attempts) {
        if (entry.kind != "order") {
            continue;
        }
        const attempt *&latest = orders[entry.subject];
        if (!latest || entry.endMs > latest->endMs) {
            latest = &entry;
        }
        if (history.hasRuns && entry.runState == "ran" && !history.runs.contains(entry.subject)) {
            evidence.push_back("\"ran\" response, but the order was not executed: " + describe(entry));
        }
    }
    for (const auto &[key, entry] : orders) {
        unknown += entry->runState == "unknown" ? 1 : 0;
    }
    return decide(history.hasRuns ? orders.size() : 0,
                  "orders, " + std::to_string(history.runs.size()) + " executed, " + std::to_string(unknown) + " with unknown result",
                  std::move(evidence));
}

} // namespace chervilbend::load
