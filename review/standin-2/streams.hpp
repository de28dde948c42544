#pragma once

// Callers of a streaming route, and the deployment that the cases with a fatal part of a prompt share: 12 servers that all hold two models.

#include "engine.hpp"

#include <cstdio>

namespace review
{

constexpr int modelCount = 2;
constexpr int promptTokens = 715;
constexpr int outputTokens = 160;
constexpr int eventsOfStream = 20;
constexpr const char *fatalPart = "bad0bad0";

struct caller_record {
    std::string attempt;
    bool isFatal = false;
    std::int64_t sentMs = 0;
    std::int64_t endedMs = 0;
    std::string status = "none";
    int events = 0;
    bool isComplete = false;
};

inline std::string configuration()
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

inline std::string hex(std::size_t number)
{
    char text[20];
    std::snprintf(text, sizeof text, "%zx", number);
    return text;
}

/// The first part is one of three and the second one of 31, as sound requests share them; the last is the request's own.
inline std::string promptOf(std::size_t number, bool isFatal)
{
    const std::string second = isFatal ? fatalPart : "d0" + hex(number * 7 % 31);
    return "f0" + std::to_string(number % 3) + ":100," + second + ":72,e" + hex(number) + ":543";
}

inline void ask(int port, std::string model, std::string prompt, caller_record &record)
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

} // namespace review
