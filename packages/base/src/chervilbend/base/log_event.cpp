#include <chervilbend/base/log_event.hpp>

#include <cstdio>

namespace chervilbend::base
{

void appendJsonString(std::string &to, std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char lastAscii = 0x7e;
    to += '"';
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            to += '\\';
            to += c;
        } else if (byte < firstPrintable || byte > lastAscii) {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\u%04x", byte);
            to += escaped;
        } else {
            to += c;
        }
    }
    to += '"';
}

log_event::log_event(std::string_view name)
    : m_text("{\"event\":")
{
    appendJsonString(m_text, name);
}

log_event &log_event::with(std::string_view field, std::string_view value)
{
    m_text += ',';
    appendJsonString(m_text, field);
    m_text += ':';
    appendJsonString(m_text, value);
    return *this;
}

log_event &log_event::with(std::string_view field, bool value)
{
    m_text += ',';
    appendJsonString(m_text, field);
    m_text += value ? ":true" : ":false";
    return *this;
}

log_event &log_event::number(std::string_view field, std::int64_t value)
{
    m_text += ',';
    appendJsonString(m_text, field);
    m_text += ':' + std::to_string(value);
    return *this;
}

} // namespace chervilbend::base
