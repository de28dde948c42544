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

/// Capacity of the queue while nobody reads standard output: some seconds of log lines under load.
constexpr std::size_t maxQueuedLines = 2'000;

/// A pipe that poll() reports as writable accepts up to PIPE_BUF bytes without blocking.
bool writeWithoutBlocking(std::string_view line)
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
        return false;
    }
    // A line whose write fails for another reason than a full pipe is lost, since there is no other stream to report it on.
    return ::write(STDOUT_FILENO, line.data(), line.size()) >= 0;
}

std::string formatTimestamp(log4cxx::log4cxx_time_t microseconds)
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
    appendJsonString(line, time);
    line += ",\"level\":";
    appendJsonString(line, level);
    line += ",\"part\":";
    appendJsonString(line, part);
    line += ',';
    if (message.starts_with("{\"")) {
        line += message.substr(1);
    } else {
        line += "\"message\":";
        appendJsonString(line, message);
        line += '}';
    }
    // Writing a longer line to the pipe could block.
    if (line.size() >= PIPE_BUF) {
        std::string replacement = log_event("lineTooLong").with("part", part).with("start", message.substr(0, PIPE_BUF / 8)).text();
        line = std::move(replacement);
    }
    return line + '\n';
}

stream_appender::stream_appender()
    : m_queue(writeWithoutBlocking, maxQueuedLines)
{
}

void stream_appender::append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool & /*pool*/)
{
    m_queue.add(jsonLine(formatTimestamp(event->getTimeStamp()), event->getLevel()->toString(), event->getLoggerName(), event->getMessage()),
                event->getLevel()->toInt());
}

// Must come last, because the macro opens a nested namespace log4cxx in this namespace.
IMPLEMENT_LOG4CXX_OBJECT(stream_appender)

} // namespace chervilbend::base
