#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace chervilbend::config
{

/// Concatenates the parts with a single allocation.
inline std::string concat(std::initializer_list<std::string_view> parts)
{
    std::size_t size = 0;
    for (const std::string_view part : parts) {
        size += part.size();
    }
    std::string text;
    text.reserve(size);
    for (const std::string_view part : parts) {
        text += part;
    }
    return text;
}

} // namespace chervilbend::config
