#pragma once

#include <log4cxx/logger.h>

#include <string_view>

namespace chervilbend::base
{

/// The logger of one part of the system. In text log lines, its name in brackets is the prefix of the message.
log4cxx::LoggerPtr partLogger(std::string_view part);

/// Sends all log lines to standard error as "TIME LEVEL [part] text", one line each. @p level is a log4cxx level name; unknown names mean INFO.
void configureLogging(std::string_view level);

/// Sends all log lines to standard output, each as a JSON object, and never blocks on it.
void configureJsonLogging(std::string_view level);

} // namespace chervilbend::base
