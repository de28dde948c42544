#pragma once

#include <cstddef>
#include <optional>

namespace chervilbend::base
{

/// Resident memory of this process; no value if the kernel doesn't tell.
std::optional<std::size_t> residentBytes();

} // namespace chervilbend::base
