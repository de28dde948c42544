#include <chervilbend/base/log.hpp>

#include <chervilbend/base/internal/stream_appender.hpp>
#include <chervilbend/base/internal/text_layout.hpp>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>

#include <string>

namespace chervilbend::base
{

log4cxx::LoggerPtr partLogger(std::string_view part)
{
    return log4cxx::Logger::getLogger(std::string(part));
}

void configureJsonLogging(std::string_view level)
{
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(std::make_shared<stream_appender>());
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(std::string(level), log4cxx::Level::getInfo()));
}

void configureLogging(std::string_view level)
{
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(std::make_shared<text_layout>(), log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(std::string(level), log4cxx::Level::getInfo()));
}

} // namespace chervilbend::base
