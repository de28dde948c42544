#pragma once

#include <chervilbend/fakes/platform/query_parameters.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::fakes
{

/// A parsed HTTP request target.
class request_target
{
public:
    explicit request_target(std::string_view target);

    /// The path without the query.
    const std::string &path() const
    {
        return m_path;
    }

    /// The path segments, without empty ones.
    const std::vector<std::string> &segments() const
    {
        return m_segments;
    }

    /// The integer query parameter @p name, from 0; @p fallback when it is absent. Without a value when it, or an escape in the query, is malformed.
    std::optional<std::int64_t> integerParameter(std::string_view name, std::int64_t fallback) const;

private:
    std::string m_path;
    std::optional<query_parameters> m_query;
    std::vector<std::string> m_segments;
};

} // namespace chervilbend::fakes
