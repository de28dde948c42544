#include <chervilbend/net/internal/peer_state.hpp>

#include <sys/socket.h>

#include <cerrno>

namespace chervilbend::net
{

peer_state peerStateOf(boost::asio::ip::tcp::socket &socket)
{
    if (!socket.is_open()) {
        return peer_state::disconnected;
    }
    char byte = 0;
    const ssize_t size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
        return peer_state::disconnected;
    }
    return size > 0 ? peer_state::hasPendingData : peer_state::connected;
}

} // namespace chervilbend::net
