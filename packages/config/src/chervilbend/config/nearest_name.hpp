#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chervilbend::config
{

/// The known name with the least edit distance (Levenshtein, without regard to case), when that is at most a third of the longer
/// name's length, or 2.
std::optional<std::string> nearestName(std::string_view name, std::span<const std::string> known);

/// `unknown key "NAME"`, followed by `, did you mean "NEAREST"?` or by the list of known names.
std::string unknownKeyText(std::string_view name, std::span<const std::string> known);

} // namespace chervilbend::config
