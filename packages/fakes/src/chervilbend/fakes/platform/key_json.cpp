#include <chervilbend/fakes/platform/key_json.hpp>

#include <cstddef>
#include <cstdint>

namespace chervilbend::fakes
{

namespace
{

constexpr unsigned char firstNonAscii = 0x80;
constexpr unsigned char firstPrintable = 0x20;
constexpr std::uint32_t surrogateOfByteZero = 0xdc00;

/// Length of the UTF-8 sequence at the beginning of the text; 0 if there is none. Overlong sequences, surrogates and numbers beyond U+10FFFF are none
/// (RFC 3629, section 4).
std::size_t sequenceLength(std::string_view text)
{
    const auto byte = [&](std::size_t i) {
        return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U;
    };
    const auto isContinuation = [&](std::size_t i) {
        return (byte(i) & 0xc0) == 0x80;
    };
    const unsigned first = byte(0);
    if (first < firstNonAscii) {
        return 1;
    }
    if (first >= 0xc2 && first <= 0xdf) {
        return isContinuation(1) ? 2 : 0;
    }
    if (first >= 0xe0 && first <= 0xef) {
        const bool isAllowed = (first != 0xe0 || byte(1) >= 0xa0) && (first != 0xed || byte(1) <= 0x9f);
        return isAllowed && isContinuation(1) && isContinuation(2) ? 3 : 0;
    }
    if (first >= 0xf0 && first <= 0xf4) {
        const bool isAllowed = (first != 0xf0 || byte(1) >= 0x90) && (first != 0xf4 || byte(1) <= 0x8f);
        return isAllowed && isContinuation(1) && isContinuation(2) && isContinuation(3) ? 4 : 0;
    }
    return 0;
}

std::string unicodeEscape(std::uint32_t unit)
{
    std::string text = "\\u";
    for (int shift = 12; shift >= 0; shift -= 4) {
        text.push_back("0123456789abcdef"[(unit >> shift) & 0xf]);
    }
    return text;
}

} // namespace

std::string keyToJson(std::string_view key, key_encoding encoding)
{
    std::string text = "\"";
    for (std::size_t i = 0; i < key.size();) {
        const auto byte = static_cast<unsigned char>(key[i]);
        const std::size_t length = sequenceLength(key.substr(i));
        if (byte == '"' || byte == '\\') {
            text += {'\\', key[i]};
        } else if (byte < firstPrintable) {
            text += unicodeEscape(byte);
        } else if (length == 0 && encoding == key_encoding::singleSurrogates) {
            text += unicodeEscape(surrogateOfByteZero + byte);
        } else {
            text += key.substr(i, length == 0 ? 1 : length);
        }
        i += length == 0 ? 1 : length;
    }
    return text + '"';
}

} // namespace chervilbend::fakes
