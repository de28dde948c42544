#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::net
{

/// An IP number and a port. Names are not resolved.
struct address {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const address &, const address &) = default;
};

/// Parses "IP:PORT" or "[IPv6]:PORT"; no value when it is neither.
std::optional<address> parseAddress(std::string_view text);

/// The form that parseAddress takes.
std::string toString(const address &where);

} // namespace chervilbend::net
