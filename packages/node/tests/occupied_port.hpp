#pragma once

#include <cppunit/TestAssert.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace chervilbend::node::test
{

/// A listening socket on a port of 127.0.0.1 that was free.
class occupied_port
{
public:
    occupied_port()
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        CPPUNIT_ASSERT(::bind(m_socket, reinterpret_cast<sockaddr *>(&address), size) == 0 && ::listen(m_socket, 1) == 0);
        CPPUNIT_ASSERT(::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        m_port = ntohs(address.sin_port);
    }

    ~occupied_port()
    {
        release();
    }

    occupied_port(const occupied_port &) = delete;
    occupied_port &operator=(const occupied_port &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    void release()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
            m_socket = -1;
        }
    }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};

} // namespace chervilbend::node::test
