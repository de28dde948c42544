#include <chervilbend/fakes/servers/request_target.hpp>

#include <algorithm>
#include <charconv>

namespace chervilbend::fakes
{

namespace
{

/// Removes and returns the text before the first @p separator in @p rest; the separator is removed, too.
std::string_view takeUntil(std::string_view &rest, char separator)
{
    const std::size_t end = std::min(rest.find(separator), rest.size());
    const std::string_view part = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return part;
}

} // namespace

request_target::request_target(std::string_view target)
{
    std::string_view rest = target;
    m_path = takeUntil(rest, '?');
    m_query = rest;
    std::string_view path = m_path;
    while (!path.empty()) {
        const std::string_view segment = takeUntil(path, '/');
        if (!segment.empty()) {
            m_segments.emplace_back(segment);
        }
    }
}

std::int64_t request_target::integerParameter(std::string_view name, std::int64_t fallback) const
{
    std::string_view rest = m_query;
    while (!rest.empty()) {
        std::string_view value = takeUntil(rest, '&');
        if (takeUntil(value, '=') == name) {
            std::int64_t number = 0;
            const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
            return error == std::errc() && end == value.data() + value.size() ? number : fallback;
        }
    }
    return fallback;
}

} // namespace chervilbend::fakes
