#include <chervilbend/base/hash.hpp>

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace chervilbend::base
{

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string hash128Hex(std::string_view data)
{
    const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64), static_cast<unsigned long long>(hash.low64));
    return text.data();
}

} // namespace chervilbend::base
