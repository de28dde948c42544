#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilbend::fakes
{

/// The decoded query of a request target, as HTTP libraries read it: percent escapes, '+' as a space, and '#' as the beginning of a fragment, which is no part
/// of the query.
class query_parameters
{
public:
    /// Without a value if an escape is malformed.
    static std::optional<query_parameters> parse(std::string_view target);

    /// The first parameter of the name; nullptr if there is none.
    const std::string *find(std::string_view name) const;
    /// The number in the first parameter of the name, or the fallback if there is none. Without a value if neither is there, or the text is no number.
    std::optional<std::uint64_t> number(std::string_view name, std::optional<std::uint64_t> fallback = std::nullopt) const;

private:
    std::vector<std::pair<std::string, std::string>> m_parameters;
};

} // namespace chervilbend::fakes
