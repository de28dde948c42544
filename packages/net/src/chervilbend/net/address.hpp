#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::net
{

/// An IP address and a port. Host names are not resolved.
struct address {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const address &, const address &) = default;
};

/// Parses "IP:PORT" or "[IPv6]:PORT"; no value for any other text.
std::optional<address> parseAddress(std::string_view text);

/// Formats the address as parseAddress() accepts it.
std::string toString(const address &value);

} // namespace chervilbend::net
