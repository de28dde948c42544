#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace chervilbend::base
{

/// Appends @p text to @p to as a quoted JSON string. Quotes and backslashes are escaped, and so is each byte that is not printable ASCII.
void appendJsonString(std::string &to, std::string_view text);

/// The message of one structured log line: a JSON object with the event's name and its fields, in the order in which they were added.
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

    /// The complete JSON object.
    std::string text() const
    {
        return m_text + '}';
    }

private:
    log_event &number(std::string_view field, std::int64_t value);

    std::string m_text;
};

} // namespace chervilbend::base
