#include <chervilbend/ctl/commands/command_output.hpp>

#include <json/writer.h>

#include <ostream>

namespace chervilbend::ctl::commands
{

command_output::command_output(std::ostream &out, std::ostream &errors, bool json)
    : m_out(out)
    , m_errors(errors)
    , m_json(json)
{
}

void command_output::line(const std::string &text)
{
    if (!m_json) {
        m_out << text << '\n';
    }
}

void command_output::document(const Json::Value &json)
{
    if (m_json) {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "  ";
        m_out << Json::writeString(builder, json) << '\n';
    }
}

void command_output::error(const std::string &text)
{
    m_errors << "chervilctl: " << text << '\n';
}

} // namespace chervilbend::ctl::commands
