#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chervilbend::config
{

/// The known name with the smallest edit distance (Levenshtein, case-insensitive), if that is at most 2 or a third of the longer name's
/// length. No value for names of more than 64 characters.
std::optional<std::string> nearestName(std::string_view name, std::span<const std::string> known);

/// `unknown key "NAME"`, followed by `, did you mean "NEAREST"?` or by the list of known names.
std::string unknownKeyText(std::string_view name, std::span<const std::string> known);

} // namespace chervilbend::config
