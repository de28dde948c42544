#pragma once

#include <log4cxx/patternlayout.h>

namespace chervilbend::base
{

/// Writes each log event as "TIME LEVEL [part] text" on one line. Control characters are written as \xNN: messages quote what callers have sent.
class text_layout : public log4cxx::PatternLayout
{
public:
    text_layout();

    void format(log4cxx::LogString &output, const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) const override;
};

} // namespace chervilbend::base
