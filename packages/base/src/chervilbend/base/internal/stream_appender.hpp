#pragma once

#include <chervilbend/base/log_queue.hpp>

#include <log4cxx/appenderskeleton.h>

#include <string>

namespace chervilbend::base
{

// The macros of log4cxx refer to nested namespaces without the enclosing log4cxx.
namespace helpers = log4cxx::helpers;

/// Writes each log event as one line of JSON to standard output, and never blocks on it.
class stream_appender : public log4cxx::AppenderSkeleton
{
public:
    DECLARE_LOG4CXX_OBJECT(stream_appender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(stream_appender)
    LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    stream_appender();

    void close() override
    {
    }

    bool requiresLayout() const override
    {
        return false;
    }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override;

private:
    log_queue m_queue;
};

/// The log line of one event: time, level and part, then the fields of the message if it is a JSON object, otherwise the message as text.
/// A line that is too long for an atomic write to a pipe is replaced by a "lineTooLong" event with the start of the message.
std::string jsonLine(std::string_view time, std::string_view level, std::string_view part, std::string_view message);

} // namespace chervilbend::base
