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
constexpr std::array<std::string_view, 29> names{
    "stopNode",
    "stopNodeTwice",
    "stopNodeInSeries",
    "stopTwoNodes",
    "killNode",
    "killAllNodes",
    "freezeNode",
    "hangUpNode",
    "starveNode",
    "crashServer",
    "crashServerKeepingId",
    "reuseServerAddress",
    "stallServer",
    "hideServers",
    "delayServerLink",
    "holdRequests",
    "holdAnswers",
    "silenceServerLink",
    "resetServerLink",
    "holdStoreRequests",
    "holdStoreAnswers",
    "silenceStoreLink",
    "busyStore",
    "silentStore",
    "slowStore",
    "lossyStore",
    "loseAllPower",
    "killAllNodesInSeries",
    "configureWhileDown",
};

static_assert(names.size() == static_cast<std::size_t>(fault_kind::configureWhileDown) + 1);
constexpr auto firstOutageKind = static_cast<std::int64_t>(fault_kind::loseAllPower);

constexpr base::milliseconds firstFault{1'500};
constexpr base::milliseconds shortestInterval{200};
constexpr base::milliseconds longestInterval{2'200};
constexpr base::milliseconds shortestDuration{50};
constexpr base::milliseconds longestDuration{3'000};
/// No fault begins so late before the end, so that every node can become ready again.
constexpr base::milliseconds quietEnd{6'000};

/// Faults that kill all nodes have a generator of their own, so that a seed gives the other faults as before they were added.
constexpr std::uint64_t outageSeeds = 7'000'000;
constexpr base::milliseconds earliestOutage{2'000};
constexpr base::milliseconds latestFirstOutage{7'000};
/// From one series of outages to the next: between them the nodes serve long enough for the other faults to show something.
constexpr base::milliseconds shortestCalm{4'000};
constexpr base::milliseconds longestCalm{10'000};
/// The share of the outages that another one follows before the nodes have got over them.
constexpr double seriesShare = 0.4;
constexpr base::milliseconds shortestSeriesGap{100};
constexpr base::milliseconds longestSeriesGap{1'500};
/// A server's registration lapses three heartbeats after the last one, which is up to 3.6 s after the crash.
constexpr base::milliseconds registrationLapse{4'000};

void addOutages(const soak_options &options, std::vector<scheduled_fault> &schedule)
{
    const std::optional<fault_kind> only = faultNamed(options.onlyFault);
    if (only && *only < fault_kind::loseAllPower) {
        return;
    }
    fakes::seeded_random random(outageSeeds + options.seed);
    base::milliseconds at(random.between(earliestOutage.count(), latestFirstOutage.count()));
    while (at < options.duration - quietEnd) {
        const auto drawn = static_cast<fault_kind>(random.between(firstOutageKind, static_cast<std::int64_t>(names.size()) - 1));
        const fault_kind kind = only.value_or(drawn);
        const auto target = static_cast<std::size_t>(random.between(0, 9'999));
        const base::milliseconds lapse = kind == fault_kind::loseAllPower ? registrationLapse : base::milliseconds(0);
        schedule.push_back({at, kind, target, lapse + base::milliseconds(random.between(shortestDuration.count(), longestDuration.count()))});
        const bool isInSeries = random.chance(seriesShare);
        at += base::milliseconds(isInSeries ? random.between(shortestSeriesGap.count(), longestSeriesGap.count())
                                            : random.between(shortestCalm.count(), longestCalm.count()));
    }
    // The last one, which no change of the configuration follows: a change that a node reads while it runs hides that it could not read the one before.
    constexpr base::milliseconds longestLead{200};
    const auto last = random.chance(0.5) ? fault_kind::loseAllPower : fault_kind::killAllNodesInSeries;
    const base::milliseconds lastAt = options.duration - quietEnd - base::milliseconds(random.between(0, longestLead.count()));
    if (lastAt > earliestOutage) {
        const fault_kind kind = only.value_or(last);
        const base::milliseconds lapse = kind == fault_kind::loseAllPower ? registrationLapse : base::milliseconds(0);
        const auto target = static_cast<std::size_t>(random.between(0, 9'999));
        schedule.push_back({lastAt, kind, target, lapse + base::milliseconds(random.between(shortestDuration.count(), longestDuration.count()))});
    }
    std::stable_sort(schedule.begin(), schedule.end(), [](const scheduled_fault &one, const scheduled_fault &other) { return one.at < other.at; });
}

std::string detailsOf(const scheduled_fault &fault)
{
    if (fault.kind != fault_kind::killAllNodesInSeries) {
        return {};
    }
    static constexpr std::array<std::string_view, 3> strains{"slow store", "busy store", "reads a second"};
    const kill_series series = killSeriesOf(fault);
    std::ostringstream text;
    text << " (" << series.kills << " kills, ";
    if (series.strain == store_strain::fewReads) {
        text << series.readsPerSecond << ' ';
    }
    text << strains[static_cast<std::size_t>(series.strain)] << ')';
    return text.str();
}

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
    const bool isOfStoreAlone = kind >= fault_kind::holdStoreRequests && !killsAllNodes(kind);
    return !isPlanned && !isOfStoreAlone && kind != fault_kind::stallServer;
}

bool cutsStoreContact(fault_kind kind)
{
    const bool isOfStore = kind >= fault_kind::holdStoreRequests && kind <= fault_kind::lossyStore;
    return isOfStore || kind == fault_kind::killAllNodesInSeries || kind == fault_kind::freezeNode || kind == fault_kind::starveNode;
}

bool killsAllNodes(fault_kind kind)
{
    return kind == fault_kind::killAllNodes || kind >= fault_kind::loseAllPower;
}

kill_series killSeriesOf(const scheduled_fault &fault)
{
    constexpr int strains = 3;
    constexpr int fewestKills = 2;
    constexpr int kills = 3;
    /// The least is below what the nodes ask for at rest, the most below what they ask for at a start.
    constexpr int fewestReads = 4;
    constexpr int reads = 60;
    fakes::seeded_random random(fault.target);
    kill_series series;
    series.strain = static_cast<store_strain>(random.between(0, strains - 1));
    series.kills = static_cast<int>(random.between(fewestKills, fewestKills + kills - 1));
    series.readsPerSecond = static_cast<double>(random.between(fewestReads, fewestReads + reads));
    return series;
}

std::vector<server_return> serverReturnsOf(const scheduled_fault &fault, std::size_t servers)
{
    fakes::seeded_random random(fault.target);
    std::vector<server_return> returns;
    for (std::size_t server = 0; server < servers; ++server) {
        const base::milliseconds after(random.between(std::min(registrationLapse, fault.duration).count(), fault.duration.count()));
        returns.push_back({server, after});
    }
    std::sort(returns.begin(), returns.end(), [](const server_return &one, const server_return &other) { return one.after < other.after; });
    if (!returns.empty()) {
        returns.back().after = fault.duration;
    }
    return returns;
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
    const bool isOutageAlone = faultNamed(options.onlyFault).value_or(fault_kind::stopNode) >= fault_kind::loseAllPower;
    while (!isOutageAlone && at < options.duration - quietEnd) {
        const auto drawn = static_cast<fault_kind>(random.between(0, firstOutageKind - 1));
        const fault_kind kind = faultNamed(options.onlyFault).value_or(drawn);
        const auto target = static_cast<std::size_t>(random.between(0, lastTarget));
        const base::milliseconds duration(random.between(shortestDuration.count(), longestDuration.count()));
        schedule.push_back({at, kind, target, duration});
        at += base::milliseconds(random.between(shortestInterval.count(), longestInterval.count()));
    }
    addOutages(options, schedule);
    return schedule;
}

std::optional<base::milliseconds> lastKillOfAll(const std::vector<scheduled_fault> &schedule)
{
    const auto found = std::find_if(schedule.rbegin(), schedule.rend(), [](const scheduled_fault &fault) { return killsAllNodes(fault.kind); });
    return found == schedule.rend() ? std::nullopt : std::optional(found->at);
}

std::string describe(const std::vector<scheduled_fault> &schedule)
{
    std::ostringstream text;
    for (const scheduled_fault &fault : schedule) {
        text << "  " << fault.at.count() << ' ' << toString(fault.kind) << ' ' << fault.target << ' ' << fault.duration.count() << detailsOf(fault) << '\n';
    }
    return text.str();
}

} // namespace chervilbend::soak
