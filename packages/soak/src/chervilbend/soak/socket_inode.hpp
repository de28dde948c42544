#pragma once

#include <cstdint>
#include <optional>

namespace chervilbend::soak
{

/// The inode of the socket that has opened the TCP connection from one port of 127.0.0.1 to another; no value if it is closed.
///
/// Asks the kernel for that socket alone: the list in /proc holds those of all processes, which takes long to read on a machine with many.
std::optional<std::uint32_t> inodeOfSocket(std::uint16_t from, std::uint16_t to);

} // namespace chervilbend::soak
