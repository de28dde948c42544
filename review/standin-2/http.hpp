#pragma once

// Blocking HTTP/1.1 on loopback sockets for the stand-ins of this review: one thread for each connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace review
{

using steady = std::chrono::steady_clock;

inline std::int64_t nowMs()
{
    static const steady::time_point start = steady::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - start).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A message without its body. Names of fields are in lower case.
struct message_head {
    std::string first;
    std::string second;
    std::map<std::string, std::string> fields;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

/// A connected socket with a buffer for what has been read ahead.
class channel
{
public:
    explicit channel(int handle)
        : m_handle(handle)
    {
        const int on = 1;
        ::setsockopt(m_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~channel()
    {
        ::close(m_handle);
    }

    channel(const channel &) = delete;
    channel &operator=(const channel &) = delete;

    bool write(const std::string &text)
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const ssize_t size = ::send(m_handle, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(size);
        }
        return true;
    }

    /// Reads until the buffer holds @p pattern; no value at the end of the connection.
    std::optional<std::string> readThrough(const std::string &pattern)
    {
        std::size_t found = 0;
        while ((found = m_buffer.find(pattern)) == std::string::npos) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        return take(found + pattern.size());
    }

    std::optional<std::string> readBytes(std::size_t size)
    {
        while (m_buffer.size() < size) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        return take(size);
    }

    std::optional<message_head> readHead()
    {
        const std::optional<std::string> text = readThrough("\r\n\r\n");
        if (!text) {
            return std::nullopt;
        }
        message_head head;
        std::size_t lineEnd = text->find("\r\n");
        const std::string line = text->substr(0, lineEnd);
        const std::size_t space = line.find(' ');
        const std::size_t next = line.find(' ', space + 1);
        head.first = line.substr(0, space);
        head.second = line.substr(space + 1, next == std::string::npos ? next : next - space - 1);
        for (std::size_t begin = lineEnd + 2; begin + 2 < text->size(); begin = lineEnd + 2) {
            lineEnd = text->find("\r\n", begin);
            const std::size_t colon = text->find(':', begin);
            std::string name = text->substr(begin, colon - begin);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
            const std::size_t value = text->find_first_not_of(' ', colon + 1);
            head.fields[name] = text->substr(value, lineEnd - value);
        }
        return head;
    }

    /// Whether the peer has closed or reset the connection, which is found out without waiting.
    bool hasPeerLeft()
    {
        char byte = 0;
        const ssize_t size = ::recv(m_handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

    /// Ends the connection in both directions, as the end of a process does; safe to be called from another thread.
    void shutDown()
    {
        ::shutdown(m_handle, SHUT_RDWR);
    }

    void limitReads(std::int64_t ms)
    {
        timeval limit{};
        limit.tv_sec = ms / 1'000;
        limit.tv_usec = (ms % 1'000) * 1'000;
        ::setsockopt(m_handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

private:
    bool fill()
    {
        char bytes[16 * 1024];
        const ssize_t size = ::recv(m_handle, bytes, sizeof bytes, 0);
        if (size <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    std::string take(std::size_t size)
    {
        std::string text = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return text;
    }

    int m_handle;
    std::string m_buffer;
};

/// Listens on a port of 127.0.0.1, a free one if none is given, and serves each connection in a thread until stop().
class listener
{
public:
    explicit listener(std::function<void(channel &)> serve, int wantedPort = 0)
    {
        m_handle = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(m_handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = loopback(wantedPort);
        socklen_t size = sizeof address;
        if (::bind(m_handle, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(m_handle, 256) != 0
            || ::getsockname(m_handle, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            std::exit(2);
        }
        m_port = ntohs(address.sin_port);
        std::thread([handle = m_handle, serve = std::move(serve)] {
            while (true) {
                const int connection = ::accept(handle, nullptr, nullptr);
                if (connection < 0) {
                    // Stopped, since a listening socket that is shut down accepts no more.
                    ::close(handle);
                    return;
                }
                std::thread([connection, serve] {
                    channel caller(connection);
                    serve(caller);
                }).detach();
            }
        }).detach();
    }

    int port() const
    {
        return m_port;
    }

    /// New connections are refused from now on.
    void stop()
    {
        ::shutdown(std::exchange(m_handle, -1), SHUT_RDWR);
    }

private:
    int m_handle = -1;
    int m_port = 0;
};

inline int connectTo(int port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}

/// A port of 127.0.0.1 that was free a moment ago, below those that the kernel gives to outgoing connections, which could take it before a node listens on it.
inline int freePort()
{
    constexpr int first = 20'000;
    constexpr int count = 12'000;
    static int next = static_cast<int>((static_cast<unsigned>(::getpid()) * 7'919U) % count);
    while (true) {
        next = (next + 1) % count;
        const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(first + next);
        const bool isFree = ::bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(handle);
        if (isFree) {
            return first + next;
        }
    }
}

inline std::string answerText(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunkText(const std::string &text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

} // namespace review
