#include <chervilbend/fakes/servers/request_target.hpp>

#include <algorithm>
#include <limits>

namespace chervilbend::fakes
{

namespace
{

constexpr std::uint64_t maxNumber = std::numeric_limits<std::int64_t>::max();

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
    m_path = target.substr(0, target.find_first_of("?#"));
    m_query = query_parameters::parse(target);
    std::string_view path = m_path;
    while (!path.empty()) {
        const std::string_view segment = takeUntil(path, '/');
        if (!segment.empty()) {
            m_segments.emplace_back(segment);
        }
    }
}

std::optional<std::int64_t> request_target::integerParameter(std::string_view name, std::int64_t fallback) const
{
    const std::optional<std::uint64_t> number = m_query ? m_query->number(name, static_cast<std::uint64_t>(fallback)) : std::nullopt;
    return number && *number <= maxNumber ? std::optional(static_cast<std::int64_t>(*number)) : std::nullopt;
}

} // namespace chervilbend::fakes
