#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace chervilbend::net
{

enum class peer_state {
    connected,
    /// Bytes that have not been read have come.
    hasPendingData,
    disconnected,
};

/// What the socket shows of its peer now, without reading anything.
peer_state peerStateOf(boost::asio::ip::tcp::socket &socket);

} // namespace chervilbend::net
