#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::config
{

/// Reads "14 GiB", "1.5GiB" or "300 MB": a decimal number of B, KiB, MiB, GiB, TiB (powers of 1024) or KB, MB, GB, TB (powers of 1000).
/// No value for anything else, a missing unit, or 8 EiB and more.
std::optional<base::byte_count> parseBytes(std::string_view text);

/// Reads "30 s", "250 ms", "1.5 min" or "2 h". No value for anything else, a missing unit, or a fraction of a millisecond.
std::optional<base::milliseconds> parseDuration(std::string_view text);

/// Formats with the largest binary unit that gives at least 1, and up to two decimals: "14 GiB", "1.5 GiB".
std::string formatBytes(base::byte_count bytes);

/// Formats with the largest unit that divides the duration: "30 s", "250 ms", "2 h".
std::string formatDuration(base::milliseconds duration);

} // namespace chervilbend::config
