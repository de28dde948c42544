/// Stand-in for a server of a plain service or, with a model, of a model server.
/// usage: server IP:PORT ID SERVICE ZONE SLOTS WORK_MS STORE RECORD_FILE [MODEL LOAD_MS DEADLY_PART [held]]
///
/// It registers in the store, checks Chervilbend-Expect-Instance, takes SLOTS requests at once and as many again in its queue, and writes each run to
/// RECORD_FILE. With a model, it answers with a stream of events. A request with the prompt part DEADLY_PART ends the process when the answer would begin.
/// POST /standin/set?lost=SHARE&endless=SHARE makes it lose the answers of that share of the requests that it has run, with a reset, and follow the head of that
/// share of its streams with bytes without end.
#include "http.hpp"

#include <sys/socket.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include <unistd.h>

namespace
{

using namespace standin;

constexpr int streamEvents = 8;
constexpr std::int64_t eventGapMs = 25;
constexpr std::int64_t heartbeatMs = 1'200;
/// 50 MB/s, so that two such answers at once stay below a node's link.
constexpr std::size_t endlessBytes = 250'000;
constexpr std::int64_t endlessPauseMs = 5;

struct server_state {
    std::string address, id, service, zone, store, model, deadlyPart;
    int slots = 1;
    std::int64_t workMs = 0, loadMs = 0, born = wallMs();
    std::FILE *record = nullptr;

    std::mutex mutex;
    std::condition_variable changed;
    int running = 0, queued = 0, heartbeats = 0;
    double lostShare = 0, endlessShare = 0;
    std::mt19937 random{std::random_device{}()};
    /// As a model server.
    std::set<std::string> models;
    bool isBusy = false;
    long sequence = 0, fence = 0;
};

server_state g;

void record(const std::string &line)
{
    std::fprintf(g.record, "%lld %s\n", static_cast<long long>(wallMs()), line.c_str());
    std::fflush(g.record);
}

std::string modelsJson()
{
    std::string names;
    for (const std::string &model : g.models) {
        names += (names.empty() ? "" : ",") + ("{\"name\":\"" + model) + "\",\"version\":1,\"adapters\":[]}";
    }
    return "\"stage\":\"both\",\"models\":[" + names + "],\"born\":" + std::to_string(g.born);
}

void sendHeartbeat()
{
    std::unique_lock<std::mutex> lock(g.mutex);
    const std::string entry = "{\"service\":\"" + g.service + "\",\"address\":\"" + g.address + "\",\"zone\":\"" + g.zone + "\",\"version\":\"v1\",\"slots\":"
        + std::to_string(g.slots) + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" + std::to_string(++g.heartbeats) + "," + modelsJson() + "}";
    lock.unlock();
    const int handle = connectTo(g.store, 500);
    if (handle < 0) {
        return;
    }
    http_connection connection(handle);
    http_message answer;
    connection.write("POST /standin/put?topic=keyed.servers&key=" + g.id + " HTTP/1.1\r\nHost: store\r\nContent-Length: " + std::to_string(entry.size())
                     + "\r\n\r\n" + entry);
    connection.readMessage(answer, steadyMs() + 500, true);
}

void keepRegistered()
{
    while (true) {
        sendHeartbeat();
        std::unique_lock<std::mutex> lock(g.mutex);
        g.changed.wait_for(lock, std::chrono::milliseconds(heartbeatMs), [before = g.models] { return g.models != before; });
    }
}

std::string jsonText(const std::string &body, const std::string &name)
{
    const std::size_t found = body.find("\"" + name + "\":");
    if (found == std::string::npos) {
        return {};
    }
    std::string value = body.substr(found + name.size() + 3);
    return value.front() == '"' ? value.substr(1, value.find('"', 1) - 1) : value.substr(0, value.find_first_of(",}"));
}

void load(const std::string &model)
{
    sleepMs(g.loadMs);
    const std::lock_guard<std::mutex> lock(g.mutex);
    g.models.insert(model);
    g.isBusy = false;
    g.changed.notify_all();
}

std::string answerOrder(const http_message &request)
{
    const std::lock_guard<std::mutex> lock(g.mutex);
    const std::string expected = jsonText(request.body, "expected");
    const std::string model = jsonText(request.body, "model");
    const long fence = std::atol(jsonText(request.body, "fencingToken").c_str());
    record("order " + g.id + " " + request.body);
    if (request.field("chervilbend-expect-instance") != g.id) {
        return answerText(421, "Chervilbend-Instance-Id: " + g.id + "\r\n", "");
    }
    if (model != g.model || fence == 0 || !jsonText(request.body, "adapter").empty()) {
        return answerText(400, "", "");
    }
    if (fence < g.fence) {
        return answerText(412, "", "");
    }
    g.fence = fence;
    const bool isLoad = jsonText(request.body, "operation") == "load";
    if (isLoad == g.models.contains(model)) {
        return answerText(200, "", "");
    }
    if (g.isBusy || (!expected.empty() && std::atol(expected.c_str()) != g.sequence)) {
        return answerText(409, "", "");
    }
    ++g.sequence;
    if (isLoad) {
        g.isBusy = true;
        std::thread(load, model).detach();
    } else {
        g.models.erase(model);
    }
    return answerText(202, "", "");
}

std::string answerReport()
{
    const std::lock_guard<std::mutex> lock(g.mutex);
    return answerText(200,
                      "Content-Type: application/json\r\n",
                      "{" + modelsJson() + ",\"busy\":" + (g.isBusy ? "true" : "false") + ",\"sequence\":" + std::to_string(g.sequence) + ",\"queued\":"
                          + std::to_string(g.queued) + ",\"running\":" + std::to_string(g.running) + ",\"kvCacheUsed\":0,\"kvCacheTotal\":130000,\"handles\":0}");
}

/// Waits for a free slot. False if the queue is full too.
bool takeSlot()
{
    std::unique_lock<std::mutex> lock(g.mutex);
    if (g.running >= g.slots && g.queued >= g.slots) {
        return false;
    }
    ++g.queued;
    g.changed.wait(lock, [] { return g.running < g.slots; });
    --g.queued;
    ++g.running;
    return true;
}

bool freeSlotAndDrawLoss()
{
    const std::lock_guard<std::mutex> lock(g.mutex);
    --g.running;
    g.changed.notify_all();
    return std::uniform_real_distribution<double>(0, 1)(g.random) < g.lostShare;
}

bool drawEndless()
{
    const std::lock_guard<std::mutex> lock(g.mutex);
    return std::uniform_real_distribution<double>(0, 1)(g.random) < g.endlessShare;
}

/// Bytes that are neither an event nor chunked encoding, until the caller closes.
void sendWithoutEnd(http_connection &connection, const std::string &attempt)
{
    record("endless " + g.id + " " + attempt);
    const std::string bytes(endlessBytes, 'x');
    std::int64_t sent = 0;
    while (connection.write(bytes)) {
        sent += static_cast<std::int64_t>(bytes.size());
        sleepMs(endlessPauseMs);
    }
    record("endless-closed " + g.id + " " + attempt + " after " + std::to_string(sent / 1'000'000) + " MB");
}

bool hasPart(const std::string &prompt, const std::string &part)
{
    return !part.empty() && ("," + prompt).find("," + part + ":") != std::string::npos;
}

bool sendStream(http_connection &connection, const http_message &request, const std::string &fields)
{
    sleepMs(g.workMs);
    if (hasPart(request.field("chervilbend-prompt-prefix"), g.deadlyPart)) {
        record("crash " + g.id + " " + request.field("chervilbend-attempt-id"));
        ::_exit(1);
    }
    bool isOpen = connection.write("HTTP/1.1 200 OK\r\n" + fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (isOpen && drawEndless()) {
        sendWithoutEnd(connection, request.field("chervilbend-attempt-id"));
        return false;
    }
    for (int event = 0; isOpen && event < streamEvents; ++event) {
        const std::string text = "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + " of " + request.field("chervilbend-attempt-id") + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        isOpen = connection.write(size + text + "\r\n");
        sleepMs(eventGapMs);
    }
    return isOpen && connection.write("0\r\n\r\n");
}

/// Whether the connection stays open.
bool run(http_connection &connection, const http_message &request)
{
    const std::string attempt = request.field("chervilbend-attempt-id");
    const std::string fields = "Chervilbend-Attempt-Id: " + attempt + "\r\n";
    const std::string notRun = fields + "Chervilbend-Not-Executed: 1\r\n";
    if (attempt.empty()) {
        return connection.write(answerText(400, notRun, ""));
    }
    const std::string expected = request.field("chervilbend-expect-instance");
    const std::string model = request.field("chervilbend-model");
    bool isHeld = model.empty();
    if (!isHeld) {
        const std::lock_guard<std::mutex> lock(g.mutex);
        isHeld = g.models.contains(model);
    }
    if ((!expected.empty() && expected != g.id) || !isHeld) {
        return connection.write(answerText(421, fields + "Chervilbend-Instance-Id: " + g.id + "\r\n", ""));
    }
    if (!takeSlot()) {
        return connection.write(answerText(503, notRun, ""));
    }
    record("run " + g.id + " " + attempt + " " + request.method() + " " + request.target());
    const std::string sealed = fields + "Chervilbend-Response-Seal: " + g.id + "." + attempt + "\r\n";
    if (!model.empty()) {
        const bool isOpen = sendStream(connection, request, sealed);
        freeSlotAndDrawLoss();
        return isOpen;
    }
    sleepMs(g.workMs);
    if (freeSlotAndDrawLoss()) {
        record("lost " + g.id + " " + attempt);
        connection.reset();
        return false;
    }
    return connection.write(answerText(200, sealed + "Keep-Alive: timeout=30\r\n", "done " + attempt + std::string(400, '.')));
}

void serve(int handle)
{
    http_connection connection(handle);
    http_message request;
    bool isOpen = true;
    while (isOpen && connection.readMessage(request, steadyMs() + 30'000, false) == read_status::complete) {
        const std::string target = request.target();
        if (target == "/health") {
            isOpen = connection.write(answerText(200, "Chervilbend-Instance-Id: " + g.id + "\r\n", ""));
        } else if (target == "/api/report") {
            isOpen = connection.write(answerReport());
        } else if (target == "/api/order") {
            isOpen = connection.write(answerOrder(request));
        } else if (target.starts_with("/standin/set?")) {
            const std::lock_guard<std::mutex> lock(g.mutex);
            g.lostShare = std::atof(queryParameter(target, "lost").c_str());
            g.endlessShare = std::atof(queryParameter(target, "endless").c_str());
            isOpen = connection.write(answerText(200, "", ""));
        } else {
            isOpen = run(connection, request);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 9) {
        return 2;
    }
    g.address = argv[1];
    g.id = argv[2];
    g.service = argv[3];
    g.zone = argv[4];
    g.slots = std::atoi(argv[5]);
    g.workMs = std::atoi(argv[6]);
    g.store = argv[7];
    g.record = std::fopen(argv[8], "a");
    if (argc > 11) {
        g.model = argv[9];
        g.loadMs = std::atoi(argv[10]);
        g.deadlyPart = argv[11];
    }
    if (argc > 12) {
        g.models.insert(g.model);
    }
    const int listener = listenOn(g.address);
    if (listener < 0 || !g.record) {
        return 2;
    }
    record("start " + g.id);
    std::thread(keepRegistered).detach();
    while (true) {
        const int handle = ::accept(listener, nullptr, nullptr);
        if (handle >= 0) {
            std::thread(serve, handle).detach();
        }
    }
}
