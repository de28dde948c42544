#include <chervilbend/load/checks/configuration_check.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace chervilbend::load
{

namespace
{

constexpr std::int64_t maxDelayMs = 6'000;

/// The time, not before @p from, from which @p node was able to read the log: after outages of the log and pauses of the node.
std::int64_t logReadableFrom(const run_history &history, const std::string &node, std::int64_t from)
{
    std::vector<event> faults = history.events;
    std::sort(faults.begin(), faults.end(), [](const event &left, const event &right) { return left.atMs < right.atMs; });
    std::int64_t readableFrom = from;
    for (const event &fault : faults) {
        const bool isLog = fault.type == "log-fault";
        const bool isPause = fault.type == "pause" && fault.peerAddress == node;
        if ((!isLog && !isPause) || fault.atMs > readableFrom + maxDelayMs) {
            continue;
        }
        for (const event &end : faults) {
            const bool endsLog = isLog && end.type == "log-healed";
            const bool endsPause = isPause && end.type == "resume" && end.peerAddress == node;
            if ((endsLog || endsPause) && end.atMs >= fault.atMs) {
                readableFrom = std::max(readableFrom, end.atMs);
                break;
            }
        }
    }
    return readableFrom;
}

std::string describeSample(const version_sample &sample, const std::string &service, std::int64_t version)
{
    return sample.node + " reported version " + std::to_string(version) + " of " + service + " at " + std::to_string(sample.atMs);
}

/// Checks that no node reverts to an older version.
void checkVersionOrder(const run_history &history, std::vector<std::string> &evidence)
{
    std::map<std::pair<std::string, std::string>, std::int64_t> highest;
    for (const version_sample &sample : history.versions) {
        for (const auto &[service, version] : sample.services) {
            std::int64_t &highestSeen = highest[{sample.node, service}];
            if (version < highestSeen) {
                evidence.push_back(describeSample(sample, service, version) + " after version " + std::to_string(highestSeen));
            }
            highestSeen = std::max(highestSeen, version);
        }
    }
}

/// When @p accepted came into force at the first node. The operator is notified only later, when it is in force at all nodes.
std::int64_t firstInForceAt(const run_history &history, const event &accepted)
{
    std::int64_t earliest = accepted.atMs;
    for (const version_sample &sample : history.versions) {
        const auto found = sample.services.find(accepted.subject);
        if (found != sample.services.end() && found->second >= accepted.version) {
            earliest = std::min(earliest, sample.atMs);
        }
    }
    return earliest;
}

void checkAccepted(const run_history &history, const event &accepted, std::vector<std::string> &evidence)
{
    std::map<std::string, std::int64_t> due;
    const std::int64_t inForceMs = firstInForceAt(history, accepted);
    for (const version_sample &sample : history.versions) {
        if (!due.contains(sample.node)) {
            due[sample.node] = logReadableFrom(history, sample.node, inForceMs) + maxDelayMs;
        }
        const auto found = sample.services.find(accepted.subject);
        const std::int64_t version = found == sample.services.end() ? 0 : found->second;
        if (sample.requestedMs > due[sample.node] && version < accepted.version) {
            evidence.push_back(describeSample(sample, accepted.subject, version) + ", but version " + std::to_string(accepted.version) + " was accepted at "
                               + std::to_string(inForceMs));
            due[sample.node] = INT64_MAX;
        }
    }
    for (const event &other : history.events) {
        if (other.type == "accepted" && other.subject == accepted.subject && other.baseVersion == accepted.baseVersion && other.version > accepted.version) {
            evidence.push_back("versions " + std::to_string(accepted.version) + " and " + std::to_string(other.version) + " of " + accepted.subject
                               + " were both accepted on version " + std::to_string(other.baseVersion));
        }
    }
}

} // namespace

std::string configuration_check::name() const
{
    return "8 accepted configuration in force within 6 s, never reverted";
}

check_result configuration_check::check(const run_history &history) const
{
    std::vector<std::string> evidence;
    std::size_t accepted = 0;
    checkVersionOrder(history, evidence);
    for (const event &entry : history.events) {
        if (entry.type == "accepted") {
            ++accepted;
            checkAccepted(history, entry, evidence);
        }
    }
    const std::size_t examined = accepted > 0 ? history.versions.size() : 0;
    return decide(examined, "node samples, " + std::to_string(accepted) + " accepted versions", std::move(evidence));
}

} // namespace chervilbend::load
