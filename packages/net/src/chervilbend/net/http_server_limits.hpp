#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace chervilbend::net
{

/// Limits beyond which a server refuses a request or a connection.
struct http_server_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    /// Maximum memory for all requests together, but for a few kilobytes that each connection has. Beyond it, long requests are refused.
    std::size_t allRequestsBytes = 32 * 1024 * 1024;
    std::size_t connections = 10'000;
    /// From the first byte to the end of the header, and again from there to the end of the body.
    base::milliseconds readTimeout{10'000};
    /// Until the socket has taken one chunk, header or whole answer.
    base::milliseconds writeTimeout{30'000};
    /// Until the first byte of the next request on a connection.
    base::milliseconds idleTimeout{60'000};
};

} // namespace chervilbend::net
