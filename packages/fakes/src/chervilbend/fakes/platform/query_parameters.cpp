#include <chervilbend/fakes/platform/query_parameters.hpp>

#include <algorithm>
#include <charconv>

namespace chervilbend::fakes
{

namespace
{

constexpr std::size_t escapeDigits = 2;
constexpr int hexadecimal = 16;

std::optional<std::string> decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
            continue;
        }
        const std::string_view digits = text.substr(i + 1, escapeDigits);
        unsigned char byte = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, hexadecimal);
        if (error != std::errc{} || end != digits.data() + escapeDigits) {
            return std::nullopt;
        }
        decoded.push_back(static_cast<char>(byte));
        i += escapeDigits;
    }
    return decoded;
}

} // namespace

std::optional<query_parameters> query_parameters::parse(std::string_view target)
{
    query_parameters parsed;
    target = target.substr(0, target.find('#'));
    const std::size_t question = target.find('?');
    std::string_view rest = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(part.size() + 1, rest.size()));
        const std::size_t equals = std::min(part.find('='), part.size());
        const std::optional<std::string> name = decode(part.substr(0, equals));
        const std::optional<std::string> value = decode(part.substr(std::min(equals + 1, part.size())));
        if (!name || !value) {
            return std::nullopt;
        }
        parsed.m_parameters.emplace_back(*name, *value);
    }
    return parsed;
}

const std::string *query_parameters::find(std::string_view name) const
{
    const auto found = std::find_if(m_parameters.begin(), m_parameters.end(), [&](const auto &parameter) { return parameter.first == name; });
    return found == m_parameters.end() ? nullptr : &found->second;
}

std::optional<std::uint64_t> query_parameters::number(std::string_view name, std::optional<std::uint64_t> fallback) const
{
    const std::string *const text = find(name);
    if (!text) {
        return fallback;
    }
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number);
    return error == std::errc{} && end == text->data() + text->size() ? std::optional(number) : std::nullopt;
}

} // namespace chervilbend::fakes
