/// Stand-in for clients of one kind of request.
/// usage: clients NAME KIND NODES HOST PATH PER_SECOND SECONDS DEADLINE_MS RECORD_FILE [MODEL PROMPT]
///
/// KIND is safe (GET), unsafe (POST) or stream (POST, answered with events). NODES is a list of IP:PORT, separated by commas. A "%" in PATH stands for a number
/// that differs from request to request, and so does one in PROMPT. Each client keeps one connection to its node open. It retries once, at another node: a safe
/// request after any failure, others after a 429 or 503, and waits for Retry-After, a third of the time left at most. Each attempt is written to RECORD_FILE.
#include "http.hpp"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace
{

using namespace standin;

constexpr int clientCount = 24;

struct options {
    std::string name, kind, host, path, model, prompt;
    std::vector<std::string> nodes;
    double perSecond = 1;
    std::int64_t seconds = 0, deadlineMs = 0;
    std::FILE *record = nullptr;
};

options g;
std::mutex g_mutex;
std::atomic<int> g_sent{0}, g_served{0};
std::atomic<long> g_number{0};

struct outcome {
    int status = 0;
    double retryAfter = 0;
    std::string text;
    bool isServed() const
    {
        return status == 200;
    }
};

std::string numbered(std::string text, long number)
{
    for (std::size_t found = 0; (found = text.find('%')) != std::string::npos;) {
        text.replace(found, 1, std::to_string(number));
    }
    return text;
}

class client
{
public:
    explicit client(std::size_t index)
        : m_index(index)
        , m_random(static_cast<unsigned>(wallMs()) + static_cast<unsigned>(index) * 7919U)
    {
    }

    void run(std::int64_t end)
    {
        const double interval = clientCount * 1000.0 / g.perSecond;
        double next = static_cast<double>(steadyMs()) + interval * std::uniform_real_distribution<double>(0, 1)(m_random);
        while (next < static_cast<double>(end)) {
            sleepMs(static_cast<std::int64_t>(next) - steadyMs());
            request();
            next = std::max(next + interval, static_cast<double>(steadyMs()));
        }
    }

private:
    void request()
    {
        const long number = ++g_number;
        const std::int64_t deadline = steadyMs() + g.deadlineMs;
        std::size_t node = m_index % g.nodes.size();
        ++g_sent;
        outcome result = attempt(g.nodes[node], number, deadline, true);
        const bool mayRetry = g.kind == "safe" || result.status == 503 || result.status == 429;
        if (!result.isServed() && mayRetry) {
            const std::int64_t left = deadline - steadyMs();
            sleepMs(std::min(static_cast<std::int64_t>(result.retryAfter * 1000), left / 3));
            node = (node + 1) % g.nodes.size();
            result = attempt(g.nodes[node], number, deadline, false);
        }
        g_served += result.isServed() ? 1 : 0;
    }

    outcome attempt(const std::string &node, long number, std::int64_t deadline, bool isFirst)
    {
        char id[24];
        std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(m_random()), static_cast<unsigned>(m_random()));
        const std::int64_t sentAt = steadyMs();
        outcome result;
        std::unique_ptr<http_connection> fresh;
        std::unique_ptr<http_connection> &connection = isFirst ? m_connection : fresh;
        if (!connection || connection->hasInput()) {
            const int handle = connectTo(node, 1'000);
            connection = handle < 0 ? nullptr : std::make_unique<http_connection>(handle);
        }
        if (!connection) {
            result.text = "no connection";
        } else {
            exchange(*connection, id, number, deadline, result);
            if (result.status == 0 || m_closes) {
                connection.reset();
            }
        }
        const std::lock_guard<std::mutex> lock(g_mutex);
        std::fprintf(g.record, "%lld %s %s %ld %s to %s: %d after %lld ms %s\n", static_cast<long long>(wallMs()), g.name.c_str(), isFirst ? "first" : "retry", number, id, node.c_str(),
                     result.status, static_cast<long long>(steadyMs() - sentAt), result.text.c_str());
        return result;
    }

    void exchange(http_connection &connection, const std::string &id, long number, std::int64_t deadline, outcome &result)
    {
        const bool isSafe = g.kind == "safe";
        std::string text = (isSafe ? "GET " : "POST ") + numbered(g.path, number) + " HTTP/1.1\r\nHost: " + g.host + "\r\nChervilbend-Attempt-Id: " + id
            + "\r\nChervilbend-Deadline-Milliseconds: " + std::to_string(deadline - steadyMs()) + "\r\n";
        if (!g.model.empty()) {
            text += "Chervilbend-Model: " + g.model + "\r\nChervilbend-Token-Counts: 383,48\r\nChervilbend-Prompt-Prefix: " + numbered(g.prompt, number) + "\r\n";
        }
        const std::string body = g.kind == "unsafe" ? "order " + std::to_string(number) : std::string();
        text += isSafe ? "\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        m_closes = false;
        http_message answer;
        const read_status status = connection.write(text) ? connection.readMessage(answer, deadline, true) : read_status::reset;
        if (status != read_status::complete) {
            result.text = status == read_status::timedOut ? "deadline" : status == read_status::closed ? "connection closed" : "connection reset";
            return;
        }
        result.status = answer.status();
        result.retryAfter = std::atof(answer.field("retry-after").c_str());
        m_closes = answer.field("connection") == "close";
        if (result.status == 200 && answer.field("chervilbend-attempt-id") != id) {
            result.text = "ANSWER OF ANOTHER REQUEST";
        } else if (result.status != 200) {
            result.text = answer.body.substr(0, 300);
        }
    }

    std::size_t m_index;
    std::mt19937 m_random;
    std::unique_ptr<http_connection> m_connection;
    bool m_closes = false;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 10 && argc != 12) {
        return 2;
    }
    g.name = argv[1];
    g.kind = argv[2];
    for (std::string list = argv[3]; !list.empty();) {
        const std::size_t comma = list.find(',');
        g.nodes.push_back(list.substr(0, comma));
        list.erase(0, comma == std::string::npos ? list.size() : comma + 1);
    }
    g.host = argv[4];
    g.path = argv[5];
    g.perSecond = std::atof(argv[6]);
    g.seconds = std::atoi(argv[7]);
    g.deadlineMs = std::atoi(argv[8]);
    g.record = std::fopen(argv[9], "a");
    if (argc == 12) {
        g.model = argv[10];
        g.prompt = argv[11];
    }
    if (!g.record) {
        return 2;
    }
    // Whole lines, because several processes write the record.
    std::setvbuf(g.record, nullptr, _IOLBF, 1 << 16);
    const std::int64_t end = steadyMs() + g.seconds * 1000;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < clientCount; ++i) {
        threads.emplace_back([i, end] { client(i).run(end); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::printf("%s sent %d served %d\n", g.name.c_str(), g_sent.load(), g_served.load());
}
