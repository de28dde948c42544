#include <chervilbend/measure/proxy/blocking_caller.hpp>

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chervilbend::measure
{

blocking_caller::blocking_caller(std::uint16_t port)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    // With a time-out a lost answer counts as a failure; without one it would block the measurement.
    const timeval limit{20, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

blocking_caller::~blocking_caller()
{
    ::close(m_socket);
}

bool blocking_caller::sendChat(const std::string &nonce)
{
    std::string body("{\"model\":\"m\",\"max_tokens\":1,\"messages\":[{\"role\":\"user\",\"content\":\"");
    body.append(nonce).append("\"}]}");
    return exchange(chatRequest(body), body);
}

bool blocking_caller::exchange(const std::string &request, const std::string &answerBody)
{
    if (!send(request)) {
        return false;
    }
    std::size_t headEnd = std::string::npos;
    while ((headEnd = m_received.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore()) {
            return false;
        }
    }
    const std::size_t lengthField = m_received.find("Content-Length: ");
    if (lengthField > headEnd || !m_received.starts_with("HTTP/1.1 200 ")) {
        return false;
    }
    const std::size_t length = std::strtoul(m_received.c_str() + lengthField + 16, nullptr, 10);
    while (m_received.size() < headEnd + 4 + length) {
        if (!readMore()) {
            return false;
        }
    }
    const bool matches = m_received.compare(headEnd + 4, std::string::npos, answerBody) == 0;
    m_received.clear();
    return matches;
}

bool blocking_caller::openStream()
{
    if (!send(chatRequest("{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"))) {
        return false;
    }
    while (m_received.find("data: ") == std::string::npos) {
        if (!readMore()) {
            return false;
        }
    }
    // Frees the buffer, since the memory measurement must not count the callers.
    std::string().swap(m_received);
    return true;
}

std::string blocking_caller::chatRequest(const std::string &body)
{
    std::string request("POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: ");
    return request.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

bool blocking_caller::send(const std::string &request)
{
    return ::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size());
}

bool blocking_caller::readMore()
{
    char buffer[4096];
    const ssize_t size = ::recv(m_socket, buffer, sizeof buffer, 0);
    if (size <= 0) {
        return false;
    }
    m_received.append(buffer, static_cast<std::size_t>(size));
    return true;
}

} // namespace chervilbend::measure
