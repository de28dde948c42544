#include <chervilbend/load/checks/once_check.hpp>

#include <map>

namespace chervilbend::load
{

std::string once_check::name() const
{
    return "5 at most one run";
}

verdict once_check::check(const run_history &history) const
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
        const attempt *&kept = orders[entry.subject];
        if (!kept || entry.endMs > kept->endMs) {
            kept = &entry;
        }
        if (history.hasRuns && entry.run == "ran" && !history.runs.contains(entry.subject)) {
            evidence.push_back("answered \"ran\" without a run: " + describe(entry));
        }
    }
    for (const auto &[key, entry] : orders) {
        unknown += entry->run == "unknown" ? 1 : 0;
    }
    return decide(history.hasRuns ? orders.size() : 0,
                  "orders, " + std::to_string(history.runs.size()) + " run, " + std::to_string(unknown) + " ended unknown",
                  std::move(evidence));
}

} // namespace chervilbend::load
