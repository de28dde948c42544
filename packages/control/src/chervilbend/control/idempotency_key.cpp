#include <chervilbend/control/idempotency_key.hpp>

#include <chervilbend/base/hash.hpp>

#include <cctype>
#include <charconv>

namespace chervilbend::control
{

namespace
{

constexpr std::string_view uuidPattern = "xxxxxxxx-xxxx-7xxx-vxxx-xxxxxxxxxxxx";

bool matches(char character, char pattern)
{
    switch (pattern) {
    case 'x':
        return std::isxdigit(static_cast<unsigned char>(character)) != 0;
    case 'v':
        return std::string_view("89abAB").find(character) != std::string_view::npos;
    default:
        return character == pattern;
    }
}

/// Prefixes the text with its length, so that different lists of parts never produce the same concatenation.
std::string lengthPrefixed(const std::string &text)
{
    return std::to_string(text.size()) + ':' + text;
}

} // namespace

std::optional<base::milliseconds> creationTime(std::string_view idempotencyKey)
{
    if (idempotencyKey.size() != uuidPattern.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < uuidPattern.size(); ++i) {
        if (!matches(idempotencyKey[i], uuidPattern[i])) {
            return std::nullopt;
        }
    }
    const std::string digits = std::string(idempotencyKey.substr(0, 8)) + std::string(idempotencyKey.substr(9, 4));
    std::int64_t time = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), time, 16);
    return base::milliseconds(time);
}

std::string orderKeyHash(const order_request &order)
{
    return base::hash128Hex(lengthPrefixed(order.account.value()) + lengthPrefixed(order.route) + lengthPrefixed(order.idempotencyKey));
}

} // namespace chervilbend::control
