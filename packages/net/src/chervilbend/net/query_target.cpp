#include <chervilbend/net/query_target.hpp>

#include <array>

namespace chervilbend::net
{

namespace
{

bool isUnreserved(unsigned char byte)
{
    const bool isLetter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool isDigit = byte >= '0' && byte <= '9';
    return isLetter || isDigit || byte == '-' || byte == '.' || byte == '_' || byte == '~';
}

} // namespace

std::string percentEncoded(std::string_view text)
{
    constexpr std::array<char, 16> digits{'0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'A', 'B', 'C', 'D', 'E', 'F'};
    constexpr unsigned lowBits = 0x0f;
    constexpr unsigned highShift = 4;
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (isUnreserved(byte)) {
            encoded.push_back(character);
        } else {
            encoded.push_back('%');
            encoded.push_back(digits[byte >> highShift]);
            encoded.push_back(digits[byte & lowBits]);
        }
    }
    return encoded;
}

query_target::query_target(std::string_view path)
    : m_text(path)
{
}

query_target &query_target::with(std::string_view name, std::string_view value)
{
    m_text.push_back(m_hasQuery ? '&' : '?');
    m_hasQuery = true;
    m_text.append(percentEncoded(name)).append(1, '=').append(percentEncoded(value));
    return *this;
}

} // namespace chervilbend::net
