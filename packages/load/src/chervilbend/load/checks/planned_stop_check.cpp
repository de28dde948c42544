#include <chervilbend/load/checks/planned_stop_check.hpp>

namespace chervilbend::load
{

namespace
{

/// Broken off or lost without a word from the node. A refused connection is no cut, nor is a failure of the endpoint that the node reports.
bool isCut(const attempt &entry)
{
    return !entry.whole && !entry.refused && !entry.timedOut && !entry.reported && (entry.status == 0 || entry.status == 200);
}

} // namespace

std::string planned_stop_check::name() const
{
    return "7 a planned stop cuts no request";
}

verdict planned_stop_check::check(const run_history &history) const
{
    std::size_t open = 0;
    std::vector<std::string> evidence;
    for (const event &term : history.events) {
        if (term.what != "term") {
            continue;
        }
        std::int64_t ended = INT64_MAX;
        for (const event &end : history.events) {
            if ((end.what == "ended" || end.what == "kill" || end.what == "pause") && end.who == term.who && end.atMs >= term.atMs) {
                ended = std::min(ended, end.atMs);
            }
        }
        for (const attempt &entry : history.attempts) {
            // A request that ends as the process ends was open before.
            if (entry.node != term.callers || entry.endMs < term.atMs || entry.sentMs > ended) {
                continue;
            }
            ++open;
            if (isCut(entry)) {
                evidence.push_back(term.who + " stopped from " + std::to_string(term.atMs) + " to " + std::to_string(ended) + " and cut " + describe(entry));
            }
        }
    }
    return decide(open, "requests at stopping nodes", std::move(evidence));
}

} // namespace chervilbend::load
