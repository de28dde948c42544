/// Stand-in for the platform's metadata store: keyed topics and logs with one partition each.
/// usage: store IP:PORT HEARTBEAT_MS
#include "http.hpp"

#include <sys/socket.h>

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace
{

using namespace standin;

constexpr std::int64_t answerMs = 4;
constexpr std::size_t maxPageBytes = 1024 * 1024;

struct topic {
    /// Without their length.
    std::vector<std::string> records;
    /// When each key was last written, for the expiry of registrations.
    std::map<std::string, std::int64_t> writtenAt;
};

std::mutex g_mutex;
std::condition_variable g_changed;
std::map<std::string, topic> g_topics;

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
    }
    return text;
}

std::string keyOf(const std::string &record)
{
    return record.substr(1, static_cast<unsigned char>(record[0]));
}

std::string valueOf(const std::string &record)
{
    return record.substr(1 + static_cast<unsigned char>(record[0]));
}

std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text.push_back(i + j <= bytes.size() ? digits[(group >> (6 * (3 - j))) & 63] : '=');
        }
    }
    return text;
}

std::string append(const std::string &target, const std::string &body)
{
    topic &written = g_topics[queryParameter(target, "topic")];
    const std::string at = queryParameter(target, "at");
    if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != written.records.size()) {
        return answerText(412, "Content-Type: application/json\r\n", "{\"end\":" + std::to_string(written.records.size()) + "}");
    }
    const std::size_t offset = written.records.size();
    for (std::size_t i = 0; i + 4 <= body.size();) {
        std::size_t length = 0;
        for (std::size_t j = 0; j < 4; ++j) {
            length = (length << 8) | static_cast<unsigned char>(body[i + j]);
        }
        written.records.push_back(body.substr(i + 4, length));
        i += 4 + length;
    }
    g_changed.notify_all();
    return answerText(200,
                      "Content-Type: application/json\r\n",
                      "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(written.records.size()) + "}");
}

/// For the operator and the servers: writes one key of a keyed topic.
std::string put(const std::string &target, const std::string &value)
{
    topic &written = g_topics[queryParameter(target, "topic")];
    const std::string key = queryParameter(target, "key");
    written.records.push_back(bigEndian(key.size(), 1) + key + value);
    written.writtenAt[key] = steadyMs();
    if (value.empty()) {
        written.writtenAt.erase(key);
    }
    g_changed.notify_all();
    return answerText(200, "", "{}");
}

std::string readLog(const std::string &target, std::unique_lock<std::mutex> &lock)
{
    const std::string name = queryParameter(target, "topic");
    const std::size_t from = std::strtoull(queryParameter(target, "from").c_str(), nullptr, 10);
    const std::int64_t until = steadyMs() + std::atoi(queryParameter(target, "waitMs").c_str());
    while (g_topics[name].records.size() <= from && steadyMs() < until) {
        g_changed.wait_for(lock, std::chrono::milliseconds(until - steadyMs()));
    }
    const topic &read = g_topics[name];
    std::string body = bigEndian(read.records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < read.records.size() && body.size() < maxPageBytes; ++i) {
        body += bigEndian(read.records[i].size(), 4) + read.records[i];
    }
    return answerText(200, "Content-Type: application/octet-stream\r\n", body);
}

std::string readNewest(const std::string &target)
{
    const topic &read = g_topics[queryParameter(target, "topic")];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < read.records.size(); ++i) {
        newest[keyOf(read.records[i])] = i;
    }
    std::string items;
    for (const auto &[key, offset] : newest) {
        const std::string value = valueOf(read.records[offset]);
        if (!value.empty()) {
            items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key + "\",\"value\":\"" + base64(value)) + "\",\"offset\":" + std::to_string(offset) + "}";
        }
    }
    return answerText(200,
                      "Content-Type: application/json\r\n",
                      "{\"items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(read.records.size()) + "}");
}

void serve(int handle)
{
    http_connection connection(handle);
    http_message request;
    while (connection.readMessage(request, steadyMs() + 600'000, false) == read_status::complete) {
        sleepMs(answerMs);
        const std::string target = request.target();
        std::unique_lock<std::mutex> lock(g_mutex);
        std::string answer;
        if (target.starts_with("/api/log-append?")) {
            answer = append(target, request.body);
        } else if (target.starts_with("/api/log-read?")) {
            answer = readLog(target, lock);
        } else if (target.starts_with("/api/log-newest?")) {
            answer = readNewest(target);
        } else if (target.starts_with("/standin/put?")) {
            answer = put(target, request.body);
        } else {
            answer = answerText(404, "", "");
        }
        lock.unlock();
        if (!connection.write(answer)) {
            return;
        }
    }
}

/// Removes registrations after three heartbeat intervals of silence.
void expireRegistrations(std::int64_t heartbeatMs)
{
    while (true) {
        sleepMs(100);
        const std::lock_guard<std::mutex> lock(g_mutex);
        const std::map<std::string, std::int64_t> writtenAt = g_topics["keyed.servers"].writtenAt;
        for (const auto &[key, when] : writtenAt) {
            if (steadyMs() - when > 3 * heartbeatMs) {
                put("?topic=keyed.servers&key=" + key, "");
            }
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    const int listener = listenOn(argv[1]);
    if (listener < 0) {
        return 2;
    }
    std::thread(expireRegistrations, std::atoi(argv[2])).detach();
    while (true) {
        const int handle = ::accept(listener, nullptr, nullptr);
        if (handle >= 0) {
            std::thread(serve, handle).detach();
        }
    }
}
