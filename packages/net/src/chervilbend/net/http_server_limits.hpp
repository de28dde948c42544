#pragma once

#include <chervilbend/base/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace chervilbend::net
{

/// What a server takes from one caller before it refuses.
struct http_server_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::size_t connections = 10'000;
    /// From the first byte waited for to the end of the header, and again to the end of the body.
    base::milliseconds readTimeout{10'000};
    /// Until the caller's socket takes one chunk.
    base::milliseconds writeTimeout{30'000};
    /// Between two requests on one connection.
    base::milliseconds idleTimeout{60'000};
};

} // namespace chervilbend::net
