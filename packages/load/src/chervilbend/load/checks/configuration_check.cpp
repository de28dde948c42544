#include <chervilbend/load/checks/configuration_check.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace chervilbend::load
{

namespace
{

constexpr std::int64_t withinMs = 6'000;

/// The moment until which @p node could not read the log, counted from @p from: an outage of the log, a pause of the node.
std::int64_t ableFrom(const run_history &history, const std::string &node, std::int64_t from)
{
    std::vector<event> faults = history.events;
    std::sort(faults.begin(), faults.end(), [](const event &left, const event &right) { return left.atMs < right.atMs; });
    std::int64_t able = from;
    for (const event &fault : faults) {
        const bool isLog = fault.what == "log-fault";
        const bool isPause = fault.what == "pause" && fault.peers == node;
        if ((!isLog && !isPause) || fault.atMs > able + withinMs) {
            continue;
        }
        for (const event &end : faults) {
            const bool endsLog = isLog && end.what == "log-healed";
            const bool endsPause = isPause && end.what == "resume" && end.peers == node;
            if ((endsLog || endsPause) && end.atMs >= fault.atMs) {
                able = std::max(able, end.atMs);
                break;
            }
        }
    }
    return able;
}

std::string at(const version_sample &sample, const std::string &service, std::int64_t version)
{
    return sample.node + " showed version " + std::to_string(version) + " of " + service + " at " + std::to_string(sample.atMs);
}

/// No node goes back to an older version.
void checkOrder(const run_history &history, std::vector<std::string> &evidence)
{
    std::map<std::pair<std::string, std::string>, std::int64_t> highest;
    for (const version_sample &sample : history.versions) {
        for (const auto &[service, version] : sample.services) {
            std::int64_t &kept = highest[{sample.node, service}];
            if (version < kept) {
                evidence.push_back(at(sample, service, version) + " after version " + std::to_string(kept));
            }
            kept = std::max(kept, version);
        }
    }
}

/// When @p accepted was in force at the first node: the operator is told only later, when it is in force at all of them.
std::int64_t acceptedAt(const run_history &history, const event &accepted)
{
    std::int64_t at = accepted.atMs;
    for (const version_sample &sample : history.versions) {
        const auto found = sample.services.find(accepted.who);
        if (found != sample.services.end() && found->second >= accepted.version) {
            at = std::min(at, sample.atMs);
        }
    }
    return at;
}

void checkAccepted(const run_history &history, const event &accepted, std::vector<std::string> &evidence)
{
    std::map<std::string, std::int64_t> due;
    const std::int64_t acceptedMs = acceptedAt(history, accepted);
    for (const version_sample &sample : history.versions) {
        if (!due.contains(sample.node)) {
            due[sample.node] = ableFrom(history, sample.node, acceptedMs) + withinMs;
        }
        const auto found = sample.services.find(accepted.who);
        const std::int64_t version = found == sample.services.end() ? 0 : found->second;
        if (sample.askedMs > due[sample.node] && version < accepted.version) {
            evidence.push_back(at(sample, accepted.who, version) + ", but version " + std::to_string(accepted.version) + " was accepted at "
                               + std::to_string(acceptedMs));
            due[sample.node] = INT64_MAX;
        }
    }
    for (const event &other : history.events) {
        if (other.what == "accepted" && other.who == accepted.who && other.base == accepted.base && other.version > accepted.version) {
            evidence.push_back("versions " + std::to_string(accepted.version) + " and " + std::to_string(other.version) + " of " + accepted.who
                               + " were both accepted on version " + std::to_string(other.base));
        }
    }
}

} // namespace

std::string configuration_check::name() const
{
    return "8 accepted configuration in force within 6 s, never older";
}

verdict configuration_check::check(const run_history &history) const
{
    std::vector<std::string> evidence;
    std::size_t accepted = 0;
    checkOrder(history, evidence);
    for (const event &entry : history.events) {
        if (entry.what == "accepted") {
            ++accepted;
            checkAccepted(history, entry, evidence);
        }
    }
    const std::size_t examined = accepted > 0 ? history.versions.size() : 0;
    return decide(examined, "samples of nodes, " + std::to_string(accepted) + " accepted versions", std::move(evidence));
}

} // namespace chervilbend::load
