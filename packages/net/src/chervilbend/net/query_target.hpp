#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace chervilbend::net
{

/// @p text with each byte percent-encoded that is not unreserved (RFC 3986, section 2.3), so that any text can be a name or value in a query. A space
/// becomes %20 and a plus sign %2B, which decoders of forms read as the same.
std::string percentEncoded(std::string_view text);

/// Builds the target of a request from a path and the parameters of its query, in the order in which they were added.
class query_target
{
public:
    /// @p path is taken as it is.
    explicit query_target(std::string_view path);

    /// @p name and @p value may be any text.
    query_target &with(std::string_view name, std::string_view value);
    query_target &with(std::string_view name, std::integral auto value)
    {
        return with(name, std::string_view(std::to_string(value)));
    }

    const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
    bool m_hasQuery = false;
};

} // namespace chervilbend::net
