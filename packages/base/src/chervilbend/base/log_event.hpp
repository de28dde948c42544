#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace chervilbend::base
{

/// Appends @p text to @p to as a JSON string, in quotes; bytes that are not valid in JSON are escaped.
void appendJsonText(std::string &to, std::string_view text);

/// The message of one structured log line: a JSON object with the name of what happened and its fields, in the order given.
class log_event
{
public:
    explicit log_event(std::string_view name);

    log_event &with(std::string_view field, std::string_view value);
    log_event &with(std::string_view field, const char *value)
    {
        return with(field, std::string_view(value));
    }
    log_event &with(std::string_view field, std::integral auto value)
    {
        return number(field, static_cast<std::int64_t>(value));
    }
    log_event &with(std::string_view field, bool value);

    /// The whole object.
    std::string text() const
    {
        return m_text + '}';
    }

private:
    log_event &number(std::string_view field, std::int64_t value);

    std::string m_text;
};

} // namespace chervilbend::base
