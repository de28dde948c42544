#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilbend::base
{

/// XXH3 64-bit hash; stable between processes and versions of this project.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// XXH3 128-bit hash as 32 lowercase hexadecimal digits.
std::string hash128Hex(std::string_view data);

} // namespace chervilbend::base
