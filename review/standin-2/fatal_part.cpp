// Case 6, and findings-2/turned-fatal: a part of a prompt crashes each server that begins to write an answer on it. Ends with 1 if more than three requests with the part reached
// servers later than stableWindowMs after the fifth crash and sound streams that had begun were cut meanwhile, 0 if not, 2 if the case could not run. Case 6: a
// server crashes after its first event. With "late", no case: the part is sound at first, and from some moment on a server crashes before its first event.
//
// usage: fatal_part PROGRAM FOLDER RECORD TROUBLE [late]

#include "nodes.hpp"
#include "streams.hpp"

using namespace review;

namespace
{

constexpr int serverCount = 12;
constexpr int nodeCount = 3;
constexpr std::int64_t downMs = 3'000;

constexpr std::int64_t stableWindowMs = 3'000;
constexpr std::int64_t calmMs = 8'000;
constexpr std::int64_t troubleMs = 22'000;
/// One in twenty requests has the part.
constexpr int soundPerSecond = 40;
constexpr int soundPerFatal = 20;
constexpr std::size_t allowedArrivals = 3;
/// A server that crashes cuts what it runs; many more than a few cut streams are lost work.
constexpr int cutStreamsAllowed = 20;
/// So many requests of each period are needed for a comparison.
constexpr int leastCounted = 20;

struct shares {
    int sent = 0;
    int begun = 0;
    int complete = 0;
};

shares soundSent(const std::vector<std::unique_ptr<caller_record>> &callers, std::int64_t from, std::int64_t until)
{
    shares sum;
    for (const std::unique_ptr<caller_record> &each : callers) {
        if (!each->isFatal && each->sentMs >= from && each->sentMs < until) {
            ++sum.sent;
            sum.begun += each->events > 0 ? 1 : 0;
            sum.complete += each->isComplete && each->events == eventsOfStream ? 1 : 0;
        }
    }
    return sum;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5 && argc != 6) {
        return 2;
    }
    const bool isLate = argc == 6 && std::string(argv[5]) == "late";
    const std::string folder = argv[2];
    const bool hasTrouble = std::string(argv[4]) != "0";
    std::FILE *const record = std::fopen(argv[3], "w");
    if (record == nullptr) {
        return 2;
    }
    std::mutex mutex;
    std::vector<std::pair<std::int64_t, std::string>> crashes;
    std::vector<std::pair<std::int64_t, std::string>> arrivals;
    store platform;
    run_ledger ledger;
    std::vector<std::unique_ptr<engine>> engines;
    const std::vector<std::string> zones{"a", "b", "c"};
    engine_speed speed;
    speed.tokenMs = 4.73;
    for (int i = 0; i < serverCount; ++i) {
        engines.push_back(std::make_unique<engine>(platform, ledger, "i-" + std::to_string(7'000 + i), "writer", zones[i % 3], std::vector<std::string>{"m0", "m1"}, speed));
        engines.back()->onArrival([&](const std::string &attempt) {
            const std::lock_guard lock(mutex);
            arrivals.emplace_back(nowMs(), attempt);
        });
        engines.back()->onCrash([&](const std::string &id) {
            const std::lock_guard lock(mutex);
            crashes.emplace_back(nowMs(), id);
        });
        if (hasTrouble && !isLate) {
            engines.back()->setFatalPart(fatalPart, downMs, 1);
        }
    }
    platform.put("keyed.op", "config", configuration());
    std::vector<node> nodes;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(makeNode(folder, "front-" + zones[i] + "-1", zones[i], platform.port()));
        nodes.back().start(argv[1]);
    }
    const auto finish = [&](int verdict, const char *why) {
        for (node &each : nodes) {
            each.end();
        }
        std::fprintf(record, "verdict %d: %s\n", verdict, why);
        std::fclose(record);
        std::printf("verdict %d: %s\n", verdict, why);
        std::fflush(stdout);
        std::_Exit(verdict);
    };
    if (!awaitReady(nodes, 20'000)) {
        finish(2, "the nodes did not become ready");
    }
    sleepMs(stableWindowMs + 1'000);

    std::fprintf(record, "times in ms; trouble %d\n", hasTrouble ? 1 : 0);
    const std::int64_t start = nowMs();
    const std::int64_t fatalFrom = start + calmMs;
    const std::int64_t end = fatalFrom + troubleMs;
    std::vector<std::unique_ptr<caller_record>> callers;
    std::vector<std::thread> threads;
    const auto send = [&](bool isFatal) {
        const std::size_t number = callers.size();
        callers.push_back(std::make_unique<caller_record>());
        caller_record &caller = *callers.back();
        char attempt[20];
        std::snprintf(attempt, sizeof attempt, "%s%08zx", isFatal ? "fa7a1000" : "50000000", number);
        caller.attempt = attempt;
        caller.isFatal = isFatal;
        caller.sentMs = nowMs();
        threads.emplace_back(ask, nodes[number % nodes.size()].frontPort, "m" + std::to_string(number / nodes.size() % modelCount), promptOf(number, isFatal), std::ref(caller));
    };
    bool isFatal = false;
    for (int sound = 0; nowMs() < end; ++sound) {
        send(false);
        if (hasTrouble && isLate && !isFatal && nowMs() >= fatalFrom) {
            isFatal = true;
            for (const std::unique_ptr<engine> &each : engines) {
                each->setFatalPart(fatalPart, downMs, 0);
            }
        }
        if ((isLate || nowMs() >= fatalFrom) && sound % soundPerFatal == 0) {
            send(true);
        }
        sleepMs(std::max<std::int64_t>(0, start + (sound + 1) * 1'000 / soundPerSecond - nowMs()));
    }
    for (std::thread &each : threads) {
        each.join();
    }

    const std::lock_guard lock(mutex);
    for (const std::unique_ptr<caller_record> &each : callers) {
        std::fprintf(record,
                     "request %s sent %lld ended %lld status %s events %d complete %d\n",
                     each->attempt.c_str(),
                     static_cast<long long>(each->sentMs),
                     static_cast<long long>(each->endedMs),
                     each->status.c_str(),
                     each->events,
                     each->isComplete ? 1 : 0);
    }
    for (const auto &[at, id] : crashes) {
        std::fprintf(record, "%lld server %s crashed\n", static_cast<long long>(at), id.c_str());
    }
    const shares before = soundSent(callers, start, fatalFrom);
    std::fprintf(record, "sound streams sent before the first request with the part: %d, begun %d, complete %d\n", before.sent, before.begun, before.complete);
    if (before.complete * 10 < before.sent * 9) {
        finish(2, "the streams were not served before the disruption");
    }
    std::int64_t late = end;
    if (crashes.size() >= 5) {
        late = crashes[4].first + stableWindowMs;
    }
    std::size_t lateArrivals = 0;
    for (const auto &[at, attempt] : arrivals) {
        const bool counts = attempt.rfind("fa7a", 0) == 0 && at > late && hasTrouble;
        lateArrivals += counts ? 1 : 0;
        if (counts) {
            std::fprintf(record, "%lld %s reached a server\n", static_cast<long long>(at), attempt.c_str());
        }
    }
    const shares after = soundSent(callers, late + stableWindowMs, end);
    std::fprintf(record, "crashes: %zu; requests with the part that reached servers later than %lld ms after the fifth: %zu\n", crashes.size(), static_cast<long long>(stableWindowMs), lateArrivals);
    std::fprintf(record, "sound streams sent from 2 x stableWindowMs after the fifth crash on: %d, begun %d, complete %d\n", after.sent, after.begun, after.complete);
    const int cut = after.begun - after.complete;
    // LOST of the same page, for the record.
    const bool isCounted = before.sent >= leastCounted && after.sent >= leastCounted;
    if (isCounted && after.begun * before.sent * 2 < before.begun * after.sent) {
        std::fprintf(record, "LOST, too: sound streams began %d of %d times, and %d of %d times before\n", after.begun, after.sent, before.begun, before.sent);
    }
    if (lateArrivals > allowedArrivals && cut > cutStreamsAllowed) {
        std::fprintf(record, "BUDGET: %zu requests with the part, %zu allowed; %d sound streams that had begun were cut\n", lateArrivals, allowedArrivals, cut);
        finish(1, "requests with a part that crashes servers went on reaching them");
    }
    finish(0, "the rule held");
}
