// No case (findings-2/restart): a part of a prompt crashes each server that begins to write an answer on it. After the fifth crash all processes of the system are killed and start
// again. Ends with 1 if more than three requests with the part then reach servers from machines in touch, 0 if not, 2 if the case could not run.
//
// usage: fatal_part_restart PROGRAM FOLDER RECORD TROUBLE

#include "nodes.hpp"
#include "streams.hpp"

using namespace review;

namespace
{

constexpr int serverCount = 12;
constexpr int nodeCount = 3;
constexpr std::int64_t downMs = 3'000;
constexpr std::int64_t stableWindowMs = 3'000;
constexpr std::int64_t restartMs = 500;
constexpr int soundPerSecond = 20;
/// A request with the part comes so often.
constexpr std::int64_t fatalIntervalMs = 400;
constexpr std::int64_t firstLifeLimitMs = 45'000;
constexpr std::int64_t secondLifeMs = 45'000;
/// So long after the restart no request with the part comes, and all machines are in touch again.
constexpr std::int64_t pauseMs = 5'500;
constexpr std::size_t crashesBefore = 5;
constexpr std::size_t allowedArrivals = 3;

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        return 2;
    }
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
        engines.back()->setFatalPart(fatalPart, downMs, 0);
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
    const auto crashCount = [&] {
        const std::lock_guard lock(mutex);
        return crashes.size();
    };
    const std::int64_t start = nowMs();
    std::int64_t nextFatal = start + 2'000;
    std::int64_t fifthAt = -1;
    std::int64_t restartedAt = -1;
    std::int64_t end = start + firstLifeLimitMs;
    for (int sound = 0; nowMs() < end; ++sound) {
        send(false);
        if (nowMs() >= nextFatal) {
            nextFatal += fatalIntervalMs;
            send(true);
        }
        if (fifthAt < 0 && crashCount() >= crashesBefore) {
            fifthAt = nowMs();
        }
        if (fifthAt >= 0 && restartedAt < 0 && nowMs() >= fifthAt + stableWindowMs) {
            if (hasTrouble) {
                std::fprintf(record, "%lld all processes of the system are killed\n", static_cast<long long>(nowMs()));
                for (node &each : nodes) {
                    each.end();
                }
                sleepMs(restartMs);
                for (node &each : nodes) {
                    each.start(argv[1]);
                }
            }
            restartedAt = nowMs();
            std::fprintf(record, "%lld all processes run\n", static_cast<long long>(restartedAt));
            nextFatal = restartedAt + pauseMs;
            end = restartedAt + secondLifeMs;
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
    if (restartedAt < 0) {
        finish(2, "fewer than five servers crashed");
    }
    std::size_t lateArrivals = 0;
    for (const auto &[at, attempt] : arrivals) {
        // No machine is in touch for stableWindowMs after its start.
        const bool isLate = attempt.rfind("fa7a", 0) == 0 && at > restartedAt + stableWindowMs;
        lateArrivals += isLate ? 1 : 0;
        std::fprintf(record, attempt.rfind("fa7a", 0) == 0 ? "%lld %s reached a server%s\n" : "", static_cast<long long>(at), attempt.c_str(), isLate ? ", late" : "");
    }
    std::fprintf(record, "requests with the part that reached servers from machines in touch after the restart: %zu, %zu allowed\n", lateArrivals, allowedArrivals);
    finish(lateArrivals > allowedArrivals ? 1 : 0, lateArrivals > allowedArrivals ? "requests with a part that had crashed five servers reached servers again" : "the rule held");
}
