#pragma once

#include <cstddef>

namespace chervilbend::net
{

/// Number of callers' connections that a node may hold: @p configured, or less if the process has too few file descriptors to connect to endpoints, nodes and
/// the store besides.
std::size_t callerConnectionLimit(std::size_t configured);

} // namespace chervilbend::net
