#pragma once

#include <json/value.h>

#include <iosfwd>
#include <string>

namespace chervilbend::ctl::commands
{

/// Output of a command, either as human-readable text or as one JSON document.
class command_output
{
public:
    command_output(std::ostream &out, std::ostream &errors, bool json);

    bool isJson() const
    {
        return m_json;
    }

    /// Writes a line of text; has no effect in JSON mode.
    void line(const std::string &text);

    /// Writes the JSON document; has no effect in text mode.
    void document(const Json::Value &json);

    /// Writes "chervilctl: TEXT" to the error stream in both modes.
    void error(const std::string &text);

private:
    std::ostream &m_out;
    std::ostream &m_errors;
    bool m_json;
};

} // namespace chervilbend::ctl::commands
