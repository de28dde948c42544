#include <chervilbend/config/quantity.hpp>

#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <cstdio>

namespace chervilbend::config
{

namespace
{

struct named_unit {
    std::string_view name;
    std::int64_t size;
};

constexpr std::array byteUnits{
    named_unit{"B", 1},
    named_unit{"KiB", std::int64_t{1} << 10},
    named_unit{"MiB", std::int64_t{1} << 20},
    named_unit{"GiB", std::int64_t{1} << 30},
    named_unit{"TiB", std::int64_t{1} << 40},
    named_unit{"KB", 1'000},
    named_unit{"MB", 1'000'000},
    named_unit{"GB", 1'000'000'000},
    named_unit{"TB", 1'000'000'000'000},
};

constexpr std::array timeUnits{
    named_unit{"ms", 1},
    named_unit{"s", 1'000},
    named_unit{"min", 60'000},
    named_unit{"h", 3'600'000},
};

/// 2^63, the first value that a 64-bit count cannot hold.
constexpr double countLimit = 9'223'372'036'854'775'808.0;

/// The number of base units, possibly with a fraction.
template<std::size_t Size>
std::optional<double> parseQuantity(std::string_view text, const std::array<named_unit, Size> &units)
{
    // from_chars would also take a sign, which no size or time has.
    if (text.empty() || text.front() < '0' || text.front() > '9') {
        return std::nullopt;
    }
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (error != std::errc{}) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    for (const named_unit &unit : units) {
        const double count = number * static_cast<double>(unit.size);
        if (unit.name == text && count < countLimit) {
            return count;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<base::byte_count> parseBytes(std::string_view text)
{
    const std::optional<double> count = parseQuantity(text, byteUnits);
    if (!count) {
        return std::nullopt;
    }
    return base::byte_count(static_cast<std::int64_t>(*count));
}

std::optional<base::milliseconds> parseDuration(std::string_view text)
{
    const std::optional<double> count = parseQuantity(text, timeUnits);
    if (!count) {
        return std::nullopt;
    }
    // Decimal fractions such as 0.3 s are not exact in binary.
    const double rounded = std::round(*count);
    if (std::abs(rounded - *count) > 1e-6) {
        return std::nullopt;
    }
    return base::milliseconds(static_cast<std::int64_t>(rounded));
}

std::string formatBytes(base::byte_count bytes)
{
    const named_unit *best = byteUnits.data();
    for (std::size_t i = 0; i < 5; ++i) {
        if (std::abs(bytes.count()) >= byteUnits[i].size) {
            best = &byteUnits[i];
        }
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", static_cast<double>(bytes.count()) / static_cast<double>(best->size));
    std::string number = text.data();
    number.erase(number.find_last_not_of('0') + 1);
    if (number.back() == '.') {
        number.pop_back();
    }
    return number + ' ' + std::string(best->name);
}

std::string formatDuration(base::milliseconds duration)
{
    const named_unit *best = timeUnits.data();
    for (const named_unit &unit : timeUnits) {
        if (duration.count() != 0 && duration.count() % unit.size == 0) {
            best = &unit;
        }
    }
    return std::to_string(duration.count() / best->size) + ' ' + std::string(best->name);
}

} // namespace chervilbend::config
