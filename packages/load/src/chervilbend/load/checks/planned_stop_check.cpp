#include <chervilbend/load/checks/planned_stop_check.hpp>

namespace chervilbend::load
{

namespace
{

/// Whether the request was aborted or lost without an error from the node. Refused connections and reported endpoint failures don't count.
bool isAborted(const attempt &entry)
{
    return !entry.isComplete && !entry.connectionRefused && !entry.timedOut && !entry.failureReported && (entry.status == 0 || entry.status == 200);
}

} // namespace

std::string planned_stop_check::name() const
{
    return "7 a planned stop aborts no request";
}

check_result planned_stop_check::check(const run_history &history) const
{
    std::size_t openRequests = 0;
    std::vector<std::string> evidence;
    for (const event &stopEvent : history.events) {
        if (stopEvent.type != "term") {
            continue;
        }
        std::int64_t processEnd = INT64_MAX;
        for (const event &end : history.events) {
            if ((end.type == "ended" || end.type == "kill" || end.type == "pause") && end.subject == stopEvent.subject && end.atMs >= stopEvent.atMs) {
                processEnd = std::min(processEnd, end.atMs);
            }
        }
        for (const attempt &entry : history.attempts) {
            // A request that ends at the same time as the process was open before.
            if (entry.node != stopEvent.callerAddress || entry.endMs < stopEvent.atMs || entry.sentMs > processEnd) {
                continue;
            }
            ++openRequests;
            if (isAborted(entry)) {
                evidence.push_back(stopEvent.subject + " stopped from " + std::to_string(stopEvent.atMs) + " to " + std::to_string(processEnd) + " and aborted "
                                   + describe(entry));
            }
        }
    }
    return decide(openRequests, "requests at stopping nodes", std::move(evidence));
}

} // namespace chervilbend::load
