#pragma once

// Stand-in for the platform's store: a log with keyed topics, as "The platform's metadata store" in PROTOCOL.md has it. It is sound.

#include "http.hpp"

#include <condition_variable>
#include <mutex>
#include <vector>

namespace review
{

class store
{
public:
    store()
        : m_listener([this](channel &caller) { serve(caller); })
    {
    }

    int port() const
    {
        return m_listener.port();
    }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back(std::string(1, static_cast<char>(key.size())) + key + value);
        m_changed.notify_all();
    }

private:
    static constexpr std::int64_t answerMs = 4;

    static std::string bigEndian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            text.push_back(static_cast<char>((number >> shift) & 0xff));
        }
        return text;
    }

    static std::string base64(const std::string &bytes)
    {
        static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                text.push_back(i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63U]);
            }
        }
        return text;
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        std::size_t begin = target.find('?');
        while (begin != std::string::npos) {
            const std::size_t end = target.find('&', begin + 1);
            if (target.compare(begin + 1, name.size() + 1, name + '=') == 0) {
                const std::size_t value = begin + name.size() + 2;
                return target.substr(value, end == std::string::npos ? end : end - value);
            }
            begin = end;
        }
        return {};
    }

    static std::uint64_t number(const std::string &target, const std::string &name)
    {
        return std::strtoull(parameter(target, name).c_str(), nullptr, 10);
    }

    void serve(channel &caller)
    {
        while (const std::optional<message_head> head = caller.readHead()) {
            const std::size_t size = std::strtoull(head->field("content-length").c_str(), nullptr, 10);
            const std::optional<std::string> body = caller.readBytes(size);
            sleepMs(answerMs);
            if (!body || !caller.write(answer(head->second, *body))) {
                return;
            }
        }
    }

    std::string answer(const std::string &target, const std::string &body)
    {
        if (target.rfind("/api/log-newest?", 0) == 0) {
            return newest(target);
        }
        if (target.rfind("/api/log-read?", 0) == 0) {
            return read(target);
        }
        if (target.rfind("/api/log-append?", 0) == 0) {
            return append(target, body);
        }
        return answerText("404 Not Found", "", "");
    }

    std::string newest(const std::string &target)
    {
        const std::lock_guard lock(m_mutex);
        const std::vector<std::string> &records = m_topics[parameter(target, "topic")];
        std::map<std::string, std::size_t> offsets;
        for (std::size_t i = 0; i < records.size(); ++i) {
            offsets[records[i].substr(1, static_cast<unsigned char>(records[i][0]))] = i;
        }
        std::string items;
        for (const auto &[key, offset] : offsets) {
            const std::string value = records[offset].substr(1 + key.size());
            if (!value.empty()) {
                items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"value\":\"" + base64(value) + "\",\"offset\":" + std::to_string(offset) + '}';
            }
        }
        return answerText("200 OK", "", "{\"items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(records.size()) + '}');
    }

    std::string read(const std::string &target)
    {
        std::unique_lock lock(m_mutex);
        const std::string topic = parameter(target, "topic");
        const std::size_t from = number(target, "from");
        m_changed.wait_for(lock, std::chrono::milliseconds(number(target, "waitMs")), [&] { return m_topics[topic].size() > from; });
        const std::vector<std::string> &records = m_topics[topic];
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (std::size_t i = from; i < records.size(); ++i) {
            body += bigEndian(records[i].size(), 4) + records[i];
        }
        return answerText("200 OK", "", body);
    }

    std::string append(const std::string &target, const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> &records = m_topics[parameter(target, "topic")];
        const std::size_t offset = records.size();
        if (!parameter(target, "at").empty() && number(target, "at") != offset) {
            return answerText("412 Precondition Failed", "", "{\"end\":" + std::to_string(offset) + '}');
        }
        for (std::size_t at = 0; at + 4 <= body.size();) {
            std::size_t length = 0;
            for (std::size_t i = 0; i < 4; ++i) {
                length = length << 8 | static_cast<unsigned char>(body[at + i]);
            }
            records.push_back(body.substr(at + 4, length));
            at += 4 + length;
        }
        m_changed.notify_all();
        return answerText("200 OK", "", "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(records.size()) + '}');
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<std::string>> m_topics;
    listener m_listener;
};

} // namespace review
