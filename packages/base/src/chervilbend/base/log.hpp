#pragma once

#include <log4cxx/logger.h>

#include <string_view>

namespace chervilbend::base
{

/// The logger of one part of the system. Its name, in brackets, is the fixed prefix of the part's log lines.
log4cxx::LoggerPtr partLogger(std::string_view part);

/// Sends all log lines to standard error as "TIME LEVEL [part] text". @p level is a log4cxx level name; an unknown one means INFO.
void configureLogging(std::string_view level);

/// Sends all log lines to standard output, each as a JSON object, without ever waiting for it.
void configureJsonLogging(std::string_view level);

} // namespace chervilbend::base
