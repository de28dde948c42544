#pragma once

// Stand-in for a model server, as PROTOCOL.md describes one: it reads the prompt, begins a run with its first token, writes one event for several tokens,
// drops a run soon after its connection has closed, carries out orders one at a time, and writes its entry in the store every heartbeat. It is sound. It can be
// made slower for a while, and a part of a prompt can crash it: it ends once it has begun to write an answer on it, and another process comes up
// in its place some seconds later, with another id and without models.

#include "store.hpp"

#include <atomic>
#include <memory>
#include <set>

namespace review
{

struct engine_speed {
    double tokenMs = 22.5;
    double promptTokensPerMs = 38.4;
    int tokensPerEvent = 8;
};

/// One run of a request at a server.
struct run_record {
    std::string attempt;
    std::string server;
    /// Id of its first event.
    int firstEvent = 0;
    /// When it made its first token.
    std::int64_t begunMs = 0;
    /// When its last token was made, or the server noticed that its connection had closed; -1 while it is at work.
    std::int64_t endedMs = -1;
    std::int64_t lastTokenMs = 0;
    bool isComplete = false;
    int events = 0;
};

class run_ledger
{
public:
    std::size_t begin(run_record run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(run));
        return m_runs.size() - 1;
    }

    void update(std::size_t run, const std::function<void(run_record &)> &change)
    {
        const std::lock_guard lock(m_mutex);
        change(m_runs[run]);
    }

    std::vector<run_record> all()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    std::mutex m_mutex;
    std::vector<run_record> m_runs;
};

class engine
{
public:
    engine(store &entries, run_ledger &ledger, std::string id, std::string service, std::string zone, std::vector<std::string> models, engine_speed speed)
        : m_store(entries)
        , m_ledger(ledger)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_speed(speed)
        , m_bornMs(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_models(models.begin(), models.end())
        , m_listener(std::make_unique<listener>([this](channel &caller) { serve(caller); }))
        , m_port(m_listener->port())
    {
        std::thread([this] {
            while (true) {
                writeEntry();
                sleepMs(heartbeatMs);
            }
        }).detach();
    }

    /// Crashes each server that begins to write an answer on this part of a prompt, after the header and so many events.
    void setFatalPart(std::string part, std::int64_t downMs, int eventsBefore)
    {
        const std::lock_guard lock(m_mutex);
        m_fatalPart = std::move(part);
        m_downMs = downMs;
        m_eventsBeforeCrash = eventsBefore;
    }

    void onCrash(std::function<void(const std::string &id)> observer)
    {
        m_crashObserver = std::move(observer);
    }

    /// Called for each request that reaches a server, whether it is run or not.
    void onArrival(std::function<void(const std::string &attempt)> observer)
    {
        m_arrivalObserver = std::move(observer);
    }

    /// Each token and each part of a prompt takes so many times as long from now on.
    void setSlowness(double factor)
    {
        m_slowness = factor;
    }

    std::string id()
    {
        const std::lock_guard lock(m_mutex);
        return m_id;
    }

private:
    static constexpr std::int64_t heartbeatMs = 1'200;
    static constexpr std::int64_t loadMs = 2'600;
    /// Of a model that the server has held before.
    static constexpr std::int64_t diskLoadMs = 520;
    static constexpr int heartbeatsUntilRemoval = 3;
    static constexpr std::int64_t pollMs = 5;
    static constexpr int slots = 48;

    std::string modelsJson()
    {
        std::string text;
        for (const std::string &model : m_models) {
            text += (text.empty() ? "" : ",") + ("{\"name\":\"" + model) + "\",\"version\":1,\"adapters\":[]}";
        }
        return '[' + text + ']';
    }

    void writeEntry()
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isAlive) {
            return;
        }
        m_store.put("keyed.servers",
                    m_id,
                    "{\"service\":\"" + m_service + "\",\"address\":\"127.0.0.1:" + std::to_string(m_port) + "\",\"zone\":\"" + m_zone
                        + "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":"
                        + std::to_string(++m_heartbeats) + ",\"born\":" + std::to_string(m_bornMs) + ",\"stage\":\"both\",\"models\":" + modelsJson() + '}');
    }

    void serve(channel &caller)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isAlive) {
                return;
            }
            m_connections.insert(&caller);
        }
        while (const std::optional<message_head> head = caller.readHead()) {
            const std::optional<std::string> body = caller.readBytes(std::strtoull(head->field("content-length").c_str(), nullptr, 10));
            if (!body || !answer(caller, *head, *body)) {
                break;
            }
        }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(&caller);
    }

    void crash()
    {
        std::string id;
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isAlive) {
                return;
            }
            m_isAlive = false;
            id = m_id;
            m_listener->stop();
            for (channel *const connection : m_connections) {
                connection->shutDown();
            }
            m_known.insert(m_models.begin(), m_models.end());
            m_models.clear();
        }
        m_crashObserver(id);
        std::thread([this, id] {
            sleepMs(heartbeatsUntilRemoval * heartbeatMs);
            m_store.put("keyed.servers", id, "");
        }).detach();
        std::thread([this] {
            sleepMs(m_downMs);
            startAgain();
        }).detach();
    }

    void startAgain()
    {
        {
            const std::lock_guard lock(m_mutex);
            ++m_life;
            m_id = m_name + '-' + std::to_string(m_life);
            m_bornMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            m_fence = m_orders = m_heartbeats = 0;
            m_isBusy = false;
            m_isAlive = true;
            m_listener = std::make_unique<listener>([this](channel &caller) { serve(caller); }, m_port);
        }
        writeEntry();
    }

    bool answer(channel &caller, const message_head &head, const std::string &body)
    {
        const std::string expected = head.field("chervilbend-expect-instance");
        const std::string ownId = id();
        const std::string attempt = head.field("chervilbend-attempt-id");
        const std::string named = attempt.empty() ? "" : "Chervilbend-Attempt-Id: " + attempt + "\r\n";
        if (head.second == "/health") {
            return caller.write(answerText("200 OK", "Chervilbend-Instance-Id: " + ownId + "\r\n", ""));
        }
        if (!expected.empty() && expected != ownId) {
            return caller.write(answerText("421 Misdirected Request", named, ""));
        }
        if (head.second == "/api/report") {
            const std::lock_guard lock(m_mutex);
            return caller.write(answerText("200 OK",
                                           "Content-Type: application/json\r\n",
                                           "{\"stage\":\"both\",\"models\":" + modelsJson() + ",\"busy\":" + (m_isBusy ? "true" : "false") + ",\"sequence\":"
                                               + std::to_string(m_orders) + ",\"queued\":0,\"running\":0,\"kvCacheUsed\":0,\"kvCacheTotal\":130139,\"handles\":0,\"born\":"
                                               + std::to_string(m_bornMs) + '}'));
        }
        if (head.second == "/api/order") {
            return caller.write(answerText(carryOut(body), "", ""));
        }
        if (attempt.empty()) {
            return caller.write(answerText("400 Bad Request", "Chervilbend-Not-Executed: 1\r\n", ""));
        }
        const bool isHeld = [&] {
            const std::lock_guard lock(m_mutex);
            return m_models.count(head.field("chervilbend-model")) > 0;
        }();
        if (!isHeld) {
            return caller.write(answerText("421 Misdirected Request", named, ""));
        }
        if (m_arrivalObserver) {
            m_arrivalObserver(attempt);
        }
        return run(caller, head, attempt);
    }

    static std::string member(const std::string &json, const std::string &name)
    {
        const std::size_t found = json.find('"' + name + "\":");
        if (found == std::string::npos) {
            return {};
        }
        std::size_t begin = found + name.size() + 3;
        const bool isText = json[begin] == '"';
        begin += isText ? 1 : 0;
        return json.substr(begin, json.find_first_of(isText ? "\"" : ",}", begin) - begin);
    }

    std::string carryOut(const std::string &order)
    {
        const std::lock_guard lock(m_mutex);
        const std::string fence = member(order, "fencingToken");
        const std::string expected = member(order, "expected");
        const std::string model = member(order, "model");
        const bool isLoad = member(order, "operation") == "load";
        if (fence.empty() || member(order, "holder").empty() || !member(order, "adapter").empty()) {
            return "400 Bad Request";
        }
        if (std::strtoll(fence.c_str(), nullptr, 10) < m_fence) {
            return "412 Precondition Failed";
        }
        m_fence = std::strtoll(fence.c_str(), nullptr, 10);
        if (isLoad == (m_models.count(model) > 0)) {
            return "200 OK";
        }
        if (m_isBusy || (!expected.empty() && std::strtoll(expected.c_str(), nullptr, 10) != m_orders)) {
            return "409 Conflict";
        }
        ++m_orders;
        m_isBusy = true;
        const std::int64_t duration = !isLoad ? pollMs : m_known.count(model) > 0 ? diskLoadMs : loadMs;
        std::thread([this, model, isLoad, duration, life = m_life] {
            sleepMs(duration);
            {
                const std::lock_guard change(m_mutex);
                if (life != m_life || !m_isAlive) {
                    return;
                }
                if (isLoad) {
                    m_models.insert(model);
                } else {
                    m_models.erase(model);
                }
                m_isBusy = false;
            }
            writeEntry();
        }).detach();
        return "202 Accepted";
    }

    /// Works for so long at normal speed. False if the caller has left meanwhile.
    bool work(channel &caller, double ms)
    {
        std::int64_t last = nowMs();
        while (ms > 0) {
            sleepMs(std::min<std::int64_t>(pollMs, static_cast<std::int64_t>(ms * m_slowness) + 1));
            const std::int64_t now = nowMs();
            ms -= static_cast<double>(now - last) / m_slowness;
            last = now;
            if (caller.hasPeerLeft()) {
                return false;
            }
        }
        return true;
    }

    bool run(channel &caller, const message_head &head, const std::string &attempt)
    {
        const std::string lastEvent = head.field("last-event-id");
        const std::string counts = head.field("chervilbend-token-counts");
        const int firstEvent = lastEvent.empty() ? 0 : std::atoi(lastEvent.c_str()) + 1;
        const int prompt = std::atoi(counts.c_str());
        const int tokens = std::atoi(counts.substr(counts.find(',') + 1).c_str());
        const int events = tokens / m_speed.tokensPerEvent;
        const bool isFatal = [&] {
            const std::lock_guard lock(m_mutex);
            return !m_fatalPart.empty() && head.field("chervilbend-prompt-prefix").find(m_fatalPart) != std::string::npos;
        }();
        if (!work(caller, (prompt + firstEvent * m_speed.tokensPerEvent) / m_speed.promptTokensPerMs)) {
            return false;
        }
        run_record begun;
        begun.attempt = attempt;
        begun.server = id();
        begun.firstEvent = firstEvent;
        begun.begunMs = begun.lastTokenMs = nowMs();
        const std::size_t runId = m_ledger.begin(begun);
        const auto end = [&](bool isComplete) {
            m_ledger.update(runId, [&](run_record &run) {
                run.endedMs = nowMs();
                run.isComplete = isComplete;
            });
            return isComplete;
        };
        if (!caller.write("HTTP/1.1 200 OK\r\nChervilbend-Attempt-Id: " + attempt + "\r\nChervilbend-Response-Seal: " + m_id + '.' + attempt
                          + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return end(false);
        }
        for (int event = firstEvent; event < events; ++event) {
            if (isFatal && event - firstEvent == m_eventsBeforeCrash) {
                crash();
                return end(false);
            }
            for (int token = event == firstEvent ? 1 : 0; token < m_speed.tokensPerEvent; ++token) {
                if (!work(caller, m_speed.tokenMs)) {
                    return end(false);
                }
                m_ledger.update(runId, [](run_record &run) { run.lastTokenMs = nowMs(); });
            }
            if (!caller.write(chunkText("id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + " of " + attempt + "\n\n"))) {
                return end(false);
            }
            m_ledger.update(runId, [](run_record &run) { ++run.events; });
        }
        end(true);
        return caller.write("0\r\n\r\n");
    }

    store &m_store;
    run_ledger &m_ledger;
    std::string m_id;
    const std::string m_name = m_id;
    std::string m_service;
    std::string m_zone;
    engine_speed m_speed;
    std::int64_t m_bornMs;
    std::mutex m_mutex;
    std::set<std::string> m_models;
    std::atomic<double> m_slowness{1};
    std::int64_t m_fence = 0;
    std::int64_t m_orders = 0;
    std::int64_t m_heartbeats = 0;
    bool m_isBusy = false;
    bool m_isAlive = true;
    int m_life = 1;
    /// Models that the server has held before.
    std::set<std::string> m_known;
    std::set<channel *> m_connections;
    std::string m_fatalPart;
    std::int64_t m_downMs = 0;
    int m_eventsBeforeCrash = 0;
    std::function<void(const std::string &)> m_crashObserver;
    std::function<void(const std::string &)> m_arrivalObserver;
    std::unique_ptr<listener> m_listener;
    int m_port;
};

} // namespace review
