#include <chervilbend/soak/fault_schedule.hpp>

#include <chervilbend/fakes/seeded_random.hpp>

#include <algorithm>
#include <array>
#include <sstream>

namespace chervilbend::soak
{

namespace
{

/// In the order of the enumeration.
constexpr std::array<std::string_view, 26> names{
    "stopNode",    "stopNodeTwice",     "stopNodeInSeries",     "stopTwoNodes",       "killNode",         "killAllNodes",     "freezeNode",      "hangUpNode",
    "starveNode",  "crashServer",       "crashServerKeepingId", "reuseServerAddress", "stallServer",      "hideServers",      "delayServerLink", "holdRequests",
    "holdAnswers", "silenceServerLink", "resetServerLink",      "holdStoreRequests",  "holdStoreAnswers", "silenceStoreLink", "busyStore",       "silentStore",
    "slowStore",   "lossyStore",
};

static_assert(names.size() == static_cast<std::size_t>(fault_kind::lossyStore) + 1);

constexpr base::milliseconds firstFault{1'500};
constexpr base::milliseconds shortestInterval{200};
constexpr base::milliseconds longestInterval{2'200};
constexpr base::milliseconds shortestDuration{50};
constexpr base::milliseconds longestDuration{3'000};
/// No fault begins so late before the end, so that every node can become ready again.
constexpr base::milliseconds quietEnd{6'000};

} // namespace

std::string_view toString(fault_kind kind)
{
    return names[static_cast<std::size_t>(kind)];
}

std::optional<fault_kind> faultNamed(std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? std::nullopt : std::optional(static_cast<fault_kind>(found - names.begin()));
}

bool isDisruption(fault_kind kind)
{
    const bool isPlanned = kind <= fault_kind::stopTwoNodes || kind == fault_kind::hangUpNode;
    const bool isOfStoreAlone = kind >= fault_kind::holdStoreRequests;
    return !isPlanned && !isOfStoreAlone && kind != fault_kind::stallServer;
}

bool cutsStoreContact(fault_kind kind)
{
    return kind >= fault_kind::holdStoreRequests || kind == fault_kind::freezeNode || kind == fault_kind::starveNode;
}

std::vector<scheduled_fault> scheduleFor(const soak_options &options)
{
    std::vector<scheduled_fault> schedule;
    if (!options.hasFaults) {
        return schedule;
    }
    fakes::seeded_random random(options.seed);
    const auto lastTarget = static_cast<std::int64_t>(options.nodes * options.servers) - 1;
    base::milliseconds at = firstFault;
    while (at < options.duration - quietEnd) {
        const auto drawn = static_cast<fault_kind>(random.between(0, static_cast<std::int64_t>(names.size()) - 1));
        const fault_kind kind = faultNamed(options.onlyFault).value_or(drawn);
        const auto target = static_cast<std::size_t>(random.between(0, lastTarget));
        const base::milliseconds duration(random.between(shortestDuration.count(), longestDuration.count()));
        schedule.push_back({at, kind, target, duration});
        at += base::milliseconds(random.between(shortestInterval.count(), longestInterval.count()));
    }
    return schedule;
}

std::string describe(const std::vector<scheduled_fault> &schedule)
{
    std::ostringstream text;
    for (const scheduled_fault &fault : schedule) {
        text << "  " << fault.at.count() << ' ' << toString(fault.kind) << ' ' << fault.target << ' ' << fault.duration.count() << '\n';
    }
    return text.str();
}

} // namespace chervilbend::soak
