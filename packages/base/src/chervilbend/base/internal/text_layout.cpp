#include <chervilbend/base/internal/text_layout.hpp>

#include <cstdio>

namespace chervilbend::base
{

text_layout::text_layout()
    : PatternLayout(LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p [%c] %m"))
{
}

void text_layout::format(log4cxx::LogString &output, const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) const
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    log4cxx::LogString line;
    PatternLayout::format(line, event, pool);
    for (const log4cxx::logchar character : line) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < firstPrintable || byte == deleteCharacter) {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\x%02x", byte);
            output.append(escaped);
        } else {
            output.push_back(character);
        }
    }
    output.append(LOG4CXX_STR("\n"));
}

} // namespace chervilbend::base
