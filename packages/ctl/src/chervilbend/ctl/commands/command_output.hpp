#pragma once

#include <json/value.h>

#include <iosfwd>
#include <string>

namespace chervilbend::ctl::commands
{

/// Where a command writes its result: as text for people, or as one JSON document.
class command_output
{
public:
    command_output(std::ostream &out, std::ostream &errors, bool json);

    bool isJson() const
    {
        return m_json;
    }

    /// Writes a line of text; nothing when JSON was asked for.
    void line(const std::string &text);

    /// Writes the JSON document; nothing when text was asked for.
    void document(const Json::Value &json);

    /// Writes "chervilctl: TEXT" to the error stream, in both forms.
    void error(const std::string &text);

private:
    std::ostream &m_out;
    std::ostream &m_errors;
    bool m_json;
};

} // namespace chervilbend::ctl::commands
