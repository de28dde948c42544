#include "http.hpp"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standin
{

std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, ms)));
}

std::string http_message::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::string http_message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string http_message::target() const
{
    const std::size_t first = startLine.find(' ');
    return startLine.substr(first + 1, startLine.rfind(' ') - first - 1);
}

int http_message::status() const
{
    const std::size_t first = startLine.find(' ');
    return first == std::string::npos ? 0 : std::atoi(startLine.c_str() + first + 1);
}

http_connection::http_connection(int handle)
    : m_handle(handle)
{
    const int on = 1;
    ::setsockopt(m_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

http_connection::~http_connection()
{
    if (m_handle >= 0) {
        ::close(m_handle);
    }
}

void http_connection::reset()
{
    const linger atOnce{1, 0};
    ::setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    ::close(m_handle);
    m_handle = -1;
}

bool http_connection::hasInput() const
{
    pollfd input{m_handle, POLLIN, 0};
    return !m_buffer.empty() || ::poll(&input, 1, 0) != 0;
}

read_status http_connection::fill(std::int64_t deadline)
{
    const std::int64_t left = deadline - steadyMs();
    pollfd input{m_handle, POLLIN, 0};
    if (left <= 0 || ::poll(&input, 1, static_cast<int>(left)) <= 0) {
        return read_status::timedOut;
    }
    char bytes[16384];
    const ssize_t size = ::recv(m_handle, bytes, sizeof bytes, 0);
    if (size <= 0) {
        return size == 0 ? read_status::closed : read_status::reset;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return read_status::complete;
}

read_status http_connection::readLine(std::string &line, std::int64_t deadline)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        const read_status status = fill(deadline);
        if (status != read_status::complete) {
            return status;
        }
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return read_status::complete;
}

read_status http_connection::readBytes(std::string &body, std::size_t size, std::int64_t deadline)
{
    while (m_buffer.size() < size) {
        const read_status status = fill(deadline);
        if (status != read_status::complete) {
            return status;
        }
    }
    body.append(m_buffer, 0, size);
    m_buffer.erase(0, size);
    return read_status::complete;
}

read_status http_connection::readHeader(http_message &message, std::int64_t deadline)
{
    message = http_message();
    read_status status = readLine(message.startLine, deadline);
    std::string line;
    while (status == read_status::complete && (status = readLine(line, deadline)) == read_status::complete && !line.empty()) {
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        std::string value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        message.fields[name] = value;
    }
    return status;
}

read_status http_connection::readChunk(std::string &chunk, std::int64_t deadline)
{
    chunk.clear();
    std::string line;
    read_status status = readLine(line, deadline);
    if (status != read_status::complete) {
        return status;
    }
    status = readBytes(chunk, std::strtoul(line.c_str(), nullptr, 16), deadline);
    return status == read_status::complete ? readLine(line, deadline) : status;
}

read_status http_connection::readMessage(http_message &message, std::int64_t deadline, bool isAnswer)
{
    read_status status = readHeader(message, deadline);
    if (status != read_status::complete) {
        return status;
    }
    if (message.field("transfer-encoding") == "chunked") {
        std::string chunk;
        while ((status = readChunk(chunk, deadline)) == read_status::complete && !chunk.empty()) {
            message.body += chunk;
        }
        return status;
    }
    if (!message.field("content-length").empty()) {
        return readBytes(message.body, std::strtoul(message.field("content-length").c_str(), nullptr, 10), deadline);
    }
    while (isAnswer && (status = fill(deadline)) == read_status::complete) { }
    if (isAnswer) {
        message.body.swap(m_buffer);
    }
    return isAnswer && status == read_status::closed ? read_status::complete : status;
}

bool http_connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t size = ::send(m_handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

namespace
{
sockaddr_in parseAddress(const std::string &address)
{
    sockaddr_in result{};
    const std::size_t colon = address.rfind(':');
    result.sin_family = AF_INET;
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    return result;
}
} // namespace

int listenOn(const std::string &address)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = parseAddress(address);
    if (::bind(handle, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0 || ::listen(handle, 512) != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}

int connectTo(const std::string &address, int timeoutMs)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in peer = parseAddress(address);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0) {
        pollfd output{handle, POLLOUT, 0};
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof error;
        if (error != 0 || ::poll(&output, 1, timeoutMs) != 1 || ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(handle);
            return -1;
        }
    }
    ::fcntl(handle, F_SETFL, ::fcntl(handle, F_GETFL) & ~O_NONBLOCK);
    return handle;
}

std::string queryParameter(const std::string &target, const std::string &name)
{
    const std::size_t question = target.find('?');
    std::string query = question == std::string::npos ? std::string() : "&" + target.substr(question + 1);
    const std::size_t found = query.find("&" + name + "=");
    if (found == std::string::npos) {
        return {};
    }
    query.erase(0, found + name.size() + 2);
    return query.substr(0, query.find('&'));
}

std::string answerText(int status, const std::string &fields, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Status") + "\r\n" + fields;
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

} // namespace standin
