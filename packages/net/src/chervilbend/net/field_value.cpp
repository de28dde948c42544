#include <chervilbend/net/field_value.hpp>

#include <algorithm>
#include <cstddef>

namespace chervilbend::net
{

namespace
{

/// The longest key in the platform's store. The names that one request carries between nodes fit into the room that their header limit has for them.
constexpr std::size_t maxBytes = 255;

bool isControl(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return byte < firstPrintable || byte == deleteCharacter;
}

} // namespace

bool isFieldValue(std::string_view text)
{
    return !text.empty() && text.size() <= maxBytes && text.front() != ' ' && text.back() != ' ' && std::none_of(text.begin(), text.end(), isControl);
}

} // namespace chervilbend::net
