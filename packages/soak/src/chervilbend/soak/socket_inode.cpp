#include <chervilbend/soak/socket_inode.hpp>

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <cstring>

namespace chervilbend::soak
{

namespace
{

/// A socket to the kernel's socket monitor, closed at the end.
class monitor_socket
{
public:
    monitor_socket()
        : m_descriptor(::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG))
    {
    }
    monitor_socket(const monitor_socket &) = delete;
    monitor_socket &operator=(const monitor_socket &) = delete;
    ~monitor_socket()
    {
        ::close(m_descriptor);
    }

    int descriptor() const
    {
        return m_descriptor;
    }

private:
    int m_descriptor;
};

} // namespace

std::optional<std::uint32_t> inodeOfSocket(std::uint16_t from, std::uint16_t to)
{
    struct {
        nlmsghdr header;
        inet_diag_req_v2 request;
    } call{};
    call.header.nlmsg_len = sizeof call;
    call.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    call.header.nlmsg_flags = NLM_F_REQUEST;
    call.request.sdiag_family = AF_INET;
    call.request.sdiag_protocol = IPPROTO_TCP;
    call.request.idiag_states = ~0U;
    call.request.id.idiag_sport = htons(from);
    call.request.id.idiag_dport = htons(to);
    call.request.id.idiag_src[0] = call.request.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
    call.request.id.idiag_cookie[0] = call.request.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;

    const monitor_socket kernel;
    alignas(nlmsghdr) std::array<std::byte, 4'096> answer{};
    if (kernel.descriptor() < 0 || ::send(kernel.descriptor(), &call, sizeof call, 0) < 0) {
        return std::nullopt;
    }
    const ssize_t length = ::recv(kernel.descriptor(), answer.data(), answer.size(), 0);
    nlmsghdr header{};
    inet_diag_msg found{};
    if (length < static_cast<ssize_t>(NLMSG_HDRLEN + sizeof found)) {
        return std::nullopt;
    }
    std::memcpy(&header, answer.data(), sizeof header);
    // An error, such as that there is no such socket, has another type.
    if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY) {
        return std::nullopt;
    }
    std::memcpy(&found, answer.data() + NLMSG_HDRLEN, sizeof found);
    return found.idiag_inode > 0 ? std::optional(found.idiag_inode) : std::nullopt;
}

} // namespace chervilbend::soak
