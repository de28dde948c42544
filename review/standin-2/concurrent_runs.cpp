// Case 7: four streams of a model whose two servers turn slow for a while. Ends with 1 if a request went on at another server while the server before still
// worked on it 400 ms later, 0 if not, 2 if the case could not run.
//
// usage: concurrent_runs PROGRAM FOLDER RECORD TROUBLE

#include "engine.hpp"
#include "nodes.hpp"

#include <cstdio>

using namespace review;

namespace
{

/// Of srv_grey with "slow", as `fleetbench kinds` gives them: share, factor and duration.
constexpr int serverCount = 14;
constexpr int slowCount = 2;
constexpr double slowFactor = 8;
constexpr std::int64_t slowMs = 5'000;

constexpr int streamCount = 4;
constexpr int promptTokens = 715;
constexpr int outputTokens = 96;
constexpr std::int64_t stableWindowMs = 3'000;
constexpr std::int64_t overlapMs = 400;

struct caller_record {
    std::string attempt;
    std::int64_t sentMs = 0;
    std::int64_t firstEventMs = -1;
    std::int64_t endedMs = 0;
    std::string status = "none";
    int events = 0;
    bool isComplete = false;
};

std::string modelName(int number)
{
    return "m" + std::to_string(number);
}

/// The first two servers hold m0 and m1, each other one two models of its own. Two of 34.3 GB fill the 83 GB of a server.
std::vector<std::string> modelsOf(int server)
{
    const int first = server < slowCount ? 0 : 2 + 2 * (server - slowCount);
    return {modelName(first), modelName(first + 1)};
}

std::string configuration()
{
    std::string models;
    for (int i = 0; i < 2 + 2 * (serverCount - slowCount); ++i) {
        models += (models.empty() ? "" : ",") + ("{\"name\":\"" + modelName(i)) + "\",\"weightSize\":34300,\"loadTimeS\":2.6,\"adapters\":0,\"adapterMb\":40}";
    }
    return "{\"version\":1,\"routes\":[{\"name\":\"draft\",\"host\":\"desk.example\",\"pathPrefix\":\"/draft/\",\"kind\":\"streaming\",\"canResume\":true,"
           "\"timeoutMs\":12000,\"targetLatencyMs\":250,\"gapAimMs\":200,\"priority\":1,\"service\":\"writer\",\"attempts\":2}],\"services\":[{\"name\":\"writer\","
           "\"healthPath\":\"/health\",\"connectionLimit\":290,\"engine\":{\"slots\":48,\"weightSize\":83000,\"adapterSlots\":8,\"loadsPerS\":2.2,"
           "\"kvCacheTokens\":130139,\"stride\":8,\"models\":["
        + models + "]}}],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

void ask(int port, caller_record &record)
{
    const int handle = connectTo(port);
    if (handle < 0) {
        return;
    }
    channel server(handle);
    server.limitReads(20'000);
    record.sentMs = nowMs();
    server.write("POST /draft/ad HTTP/1.1\r\nHost: desk.example\r\nChervilbend-Attempt-Id: " + record.attempt + "\r\nChervilbend-Model: m0\r\nChervilbend-Token-Counts: "
                 + std::to_string(promptTokens) + ',' + std::to_string(outputTokens) + "\r\nChervilbend-Prompt-Prefix: ab12cd34:172," + record.attempt
                 + ":543\r\nChervilbend-Deadline-Milliseconds: 12000\r\nContent-Length: 1\r\n\r\nq");
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
        record.firstEventMs = record.firstEventMs < 0 ? nowMs() : record.firstEventMs;
        for (std::size_t at = chunk->find("id: "); at != std::string::npos; at = chunk->find("id: ", at + 1)) {
            ++record.events;
        }
    }
    record.endedMs = nowMs();
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
    store platform;
    run_ledger ledger;
    std::vector<std::unique_ptr<engine>> engines;
    const std::vector<std::string> zones{"a", "b", "c"};
    for (int i = 0; i < serverCount; ++i) {
        engines.push_back(std::make_unique<engine>(platform, ledger, "i-" + std::to_string(7'000 + i), "writer", zones[i % 3], modelsOf(i), engine_speed{}));
    }
    platform.put("keyed.op", "config", configuration());
    std::vector<node> nodes;
    for (int i = 0; i < 3; ++i) {
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
    sleepMs(stableWindowMs + 500);

    std::fprintf(record, "times in ms; trouble %d\n", hasTrouble ? 1 : 0);
    if (hasTrouble) {
        for (int i = 0; i < slowCount; ++i) {
            engines[static_cast<std::size_t>(i)]->setSlowness(slowFactor);
            std::fprintf(record, "%lld server %s turns slow, x %g\n", static_cast<long long>(nowMs()), engines[static_cast<std::size_t>(i)]->id().c_str(), slowFactor);
        }
    }
    const std::int64_t slowUntil = nowMs() + slowMs;
    std::vector<caller_record> callers(streamCount);
    std::vector<std::thread> threads;
    for (int i = 0; i < streamCount; ++i) {
        callers[static_cast<std::size_t>(i)].attempt = "5e0000000000000" + std::to_string(i + 1);
        threads.emplace_back(ask, nodes[0].frontPort, std::ref(callers[static_cast<std::size_t>(i)]));
    }
    sleepMs(slowUntil - nowMs());
    for (int i = 0; i < slowCount; ++i) {
        engines[static_cast<std::size_t>(i)]->setSlowness(1);
    }
    std::fprintf(record, "%lld all servers at their usual speed\n", static_cast<long long>(nowMs()));
    for (std::thread &each : threads) {
        each.join();
    }
    sleepMs(overlapMs + 200);

    for (const caller_record &each : callers) {
        std::fprintf(record,
                     "request %s sent %lld first event %lld ended %lld status %s events %d complete %d\n",
                     each.attempt.c_str(),
                     static_cast<long long>(each.sentMs),
                     static_cast<long long>(each.firstEventMs),
                     static_cast<long long>(each.endedMs),
                     each.status.c_str(),
                     each.events,
                     each.isComplete ? 1 : 0);
    }
    const std::vector<run_record> runs = ledger.all();
    for (const run_record &run : runs) {
        std::fprintf(record,
                     "run of %s at %s begun %lld last token %lld ended %lld first event %d events written %d complete %d\n",
                     run.attempt.c_str(),
                     run.server.c_str(),
                     static_cast<long long>(run.begunMs),
                     static_cast<long long>(run.lastTokenMs),
                     static_cast<long long>(run.endedMs),
                     run.firstEvent,
                     run.events,
                     run.isComplete ? 1 : 0);
    }
    bool isBroken = false;
    for (const run_record &before : runs) {
        for (const run_record &next : runs) {
            const std::int64_t limit = next.begunMs + overlapMs;
            const bool isPair = before.attempt == next.attempt && before.server != next.server && before.begunMs < next.begunMs;
            // Both make tokens at the limit: the rule asks it of the server before only.
            if (isPair && before.lastTokenMs > limit && next.lastTokenMs > limit) {
                isBroken = true;
                std::fprintf(record,
                             "TWICE: %s went on at %s at %lld, and %s still worked on it at %lld\n",
                             next.attempt.c_str(),
                             next.server.c_str(),
                             static_cast<long long>(next.begunMs),
                             before.server.c_str(),
                             static_cast<long long>(limit));
            }
        }
    }
    const bool areServed = std::all_of(callers.begin(), callers.end(), [](const caller_record &each) { return each.status == "200"; });
    if (isBroken) {
        finish(1, "a request ran at two servers at a time");
    }
    finish(areServed ? 0 : 2, areServed ? "the rule held" : "the streams were not served");
}
