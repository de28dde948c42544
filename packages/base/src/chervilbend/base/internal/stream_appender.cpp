#include <chervilbend/base/internal/stream_appender.hpp>

#include <chervilbend/base/log_event.hpp>

#include <log4cxx/level.h>
#include <log4cxx/spi/loggingevent.h>

#include <climits>
#include <cstdio>
#include <ctime>

#include <poll.h>
#include <unistd.h>

namespace chervilbend::base
{

namespace
{

/// Lines that wait while nobody reads standard output: some seconds under load.
constexpr std::size_t mostWaiting = 2'000;

/// A pipe that polls as writable takes PIPE_BUF bytes without waiting.
bool writeAtOnce(std::string_view line)
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
        return false;
    }
    // A line that cannot be written for another reason than a full pipe is lost: there is no place left to say so.
    return ::write(STDOUT_FILENO, line.data(), line.size()) >= 0;
}

std::string timeText(log4cxx::log4cxx_time_t microseconds)
{
    constexpr std::int64_t perSecond = 1'000'000;
    constexpr std::int64_t perMillisecond = 1'000;
    const std::time_t seconds = microseconds / perSecond;
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    char text[40];
    const std::size_t size = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + size, sizeof text - size, ".%03dZ", static_cast<int>(microseconds % perSecond / perMillisecond));
    return text;
}

} // namespace

std::string jsonLine(std::string_view time, std::string_view level, std::string_view part, std::string_view message)
{
    std::string line = "{\"time\":";
    appendJsonText(line, time);
    line += ",\"level\":";
    appendJsonText(line, level);
    line += ",\"part\":";
    appendJsonText(line, part);
    line += ',';
    if (message.starts_with("{\"")) {
        line += message.substr(1);
    } else {
        line += "\"message\":";
        appendJsonText(line, message);
        line += '}';
    }
    // Longer lines could make the pipe wait.
    if (line.size() >= PIPE_BUF) {
        std::string cut = log_event("lineTooLong").with("part", part).with("start", message.substr(0, PIPE_BUF / 8)).text();
        line = std::move(cut);
    }
    return line + '\n';
}

stream_appender::stream_appender()
    : m_queue(writeAtOnce, mostWaiting)
{
}

void stream_appender::append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool & /*pool*/)
{
    m_queue.add(jsonLine(timeText(event->getTimeStamp()), event->getLevel()->toString(), event->getLoggerName(), event->getMessage()),
                event->getLevel()->toInt());
}

// Last, because it opens a namespace log4cxx of its own in this one.
IMPLEMENT_LOG4CXX_OBJECT(stream_appender)

} // namespace chervilbend::base
