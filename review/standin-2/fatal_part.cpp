// Case 6: a part of a prompt crashes each server that begins to write an answer on it. Ends with 1 if more than three requests with the part reached servers
// later than stableWindowMs after the fifth crash and sound streams that had begun were cut meanwhile, 0 if not, 2 if the case could not run.
//
// usage: fatal_part PROGRAM FOLDER RECORD TROUBLE

#include "engine.hpp"
#include "nodes.hpp"

#include <cstdio>

using namespace review;

namespace
{

constexpr int serverCount = 12;
constexpr int nodeCount = 3;
constexpr int modelCount = 2;
constexpr std::int64_t downMs = 3'000;
constexpr const char *fatalPart = "bad0bad0";

constexpr std::int64_t stableWindowMs = 3'000;
constexpr std::int64_t calmMs = 8'000;
constexpr std::int64_t troubleMs = 22'000;
/// One in twenty requests has the part.
constexpr int soundPerSecond = 40;
constexpr int soundPerFatal = 20;
constexpr int promptTokens = 715;
constexpr int outputTokens = 160;
constexpr int events = 20;
constexpr std::size_t allowedArrivals = 3;
/// A server that crashes cuts what it runs; many more than a few cut streams are lost work.
constexpr int cutStreamsAllowed = 20;

struct caller_record {
    std::string attempt;
    bool isFatal = false;
    std::int64_t sentMs = 0;
    std::int64_t endedMs = 0;
    std::string status = "none";
    int events = 0;
    bool isComplete = false;
};

std::string configuration()
{
    std::string models;
    for (int i = 0; i < modelCount; ++i) {
        models += (models.empty() ? "" : ",") + ("{\"name\":\"m" + std::to_string(i))
            + "\",\"weightSize\":34300,\"loadTimeS\":2.6,\"warmS\":0.39,\"diskS\":0.52,\"adapters\":0,\"adapterMb\":40}";
    }
    return "{\"version\":1,\"routes\":[{\"name\":\"coach\",\"host\":\"desk.example\",\"pathPrefix\":\"/coach/\",\"kind\":\"streaming\",\"canResume\":true,"
           "\"timeoutMs\":12000,\"targetLatencyMs\":400,\"gapAimMs\":150,\"priority\":1,\"service\":\"writer\",\"attempts\":2}],\"services\":[{\"name\":\"writer\","
           "\"healthPath\":\"/health\",\"connectionLimit\":290,\"engine\":{\"slots\":48,\"weightSize\":83000,\"adapterSlots\":8,\"loadsPerS\":2.2,"
           "\"kvCacheTokens\":130139,\"stride\":8,\"models\":["
        + models + "]}}],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

std::string hex(std::size_t number)
{
    char text[20];
    std::snprintf(text, sizeof text, "%zx", number);
    return text;
}

/// The first part is one of three and the second one of 31, as sound requests share them; the last is the request's own.
std::string promptOf(std::size_t number, bool isFatal)
{
    const std::string second = isFatal ? fatalPart : "d0" + hex(number * 7 % 31);
    return "f0" + std::to_string(number % 3) + ":100," + second + ":72,e" + hex(number) + ":543";
}

void ask(int port, std::string model, std::string prompt, caller_record &record)
{
    const int handle = connectTo(port);
    if (handle < 0) {
        return;
    }
    channel server(handle);
    server.limitReads(13'000);
    server.write("POST /coach/ticket HTTP/1.1\r\nHost: desk.example\r\nChervilbend-Attempt-Id: " + record.attempt + "\r\nChervilbend-Model: " + model
                 + "\r\nChervilbend-Token-Counts: " + std::to_string(promptTokens) + ',' + std::to_string(outputTokens) + "\r\nChervilbend-Prompt-Prefix: " + prompt
                 + "\r\nChervilbend-Deadline-Milliseconds: 12000\r\nContent-Length: 1\r\n\r\nq");
    const std::optional<message_head> head = server.readHead();
    record.status = head ? head->second : "none";
    while (head && head->field("transfer-encoding") == "chunked") {
        const std::optional<std::string> size = server.readThrough("\r\n");
        const std::size_t bytes = size ? std::strtoull(size->c_str(), nullptr, 16) : 0;
        const std::optional<std::string> chunk = size ? server.readBytes(bytes + 2) : std::nullopt;
        if (!chunk || bytes == 0) {
            record.isComplete = chunk.has_value();
            break;
        }
        for (std::size_t at = chunk->find("id: "); at != std::string::npos; at = chunk->find("id: ", at + 1)) {
            ++record.events;
        }
    }
    record.endedMs = nowMs();
}

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
            sum.complete += each->isComplete && each->events == events ? 1 : 0;
        }
    }
    return sum;
}

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
        if (hasTrouble) {
            engines.back()->setFatalPart(fatalPart, downMs);
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
    for (int sound = 0; nowMs() < end; ++sound) {
        send(false);
        if (nowMs() >= fatalFrom && sound % soundPerFatal == 0) {
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
        const bool isLate = attempt.rfind("fa7a", 0) == 0 && at > late && hasTrouble;
        lateArrivals += isLate ? 1 : 0;
        if (isLate) {
            std::fprintf(record, "%lld %s reached a server\n", static_cast<long long>(at), attempt.c_str());
        }
    }
    const shares after = soundSent(callers, late + stableWindowMs, end);
    std::fprintf(record, "crashes: %zu; requests with the part that reached servers later than %lld ms after the fifth: %zu\n", crashes.size(), static_cast<long long>(stableWindowMs), lateArrivals);
    std::fprintf(record, "sound streams sent from 2 x stableWindowMs after the fifth crash on: %d, begun %d, complete %d\n", after.sent, after.begun, after.complete);
    const int cut = after.begun - after.complete;
    if (lateArrivals > allowedArrivals && cut > cutStreamsAllowed) {
        std::fprintf(record, "BUDGET: %zu requests with the part, %zu allowed; %d sound streams that had begun were cut\n", lateArrivals, allowedArrivals, cut);
        finish(1, "requests with a part that crashes servers went on reaching them");
    }
    finish(0, "the rule held");
}
