#include <chervilbend/config/nearest_name.hpp>

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <numeric>
#include <vector>

namespace chervilbend::config
{

namespace
{

/// Limits the cost of comparing a key of arbitrary length.
constexpr std::size_t maxNameLength = 64;

bool isSameLetter(char left, char right)
{
    return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
}

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replaced = diagonal + (isSameLetter(left[i - 1], right[j - 1]) ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

} // namespace

std::optional<std::string> nearestName(std::string_view name, std::span<const std::string> known)
{
    if (name.size() > maxNameLength) {
        return std::nullopt;
    }
    std::optional<std::string> nearest;
    std::size_t smallestDistance = maxNameLength;
    for (const std::string &candidate : known) {
        const std::size_t distance = editDistance(name, candidate);
        const std::size_t limit = std::max<std::size_t>(2, std::max(name.size(), candidate.size()) / 3);
        if (distance <= limit && distance < smallestDistance) {
            smallestDistance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::string unknownKeyText(std::string_view name, std::span<const std::string> known)
{
    std::string text = "unknown key \"" + std::string(name.substr(0, maxNameLength)) + '"';
    if (const std::optional<std::string> nearest = nearestName(name, known)) {
        return text + ", did you mean \"" + *nearest + "\"?";
    }
    text += "; known keys are ";
    for (std::size_t i = 0; i < known.size(); ++i) {
        text += (i == 0 ? "" : ", ") + known[i];
    }
    return text;
}

} // namespace chervilbend::config
