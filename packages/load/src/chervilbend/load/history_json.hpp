#pragma once

#include <chervilbend/load/run_history.hpp>

#include <istream>
#include <string>

namespace chervilbend::load
{

/// The entry as a line of JSON, without the line terminator.
std::string toLine(const attempt &entry);
std::string toLine(const memory_sample &entry);
std::string toLine(const request_count_sample &entry);
std::string toLine(const version_sample &entry);
/// The line for the execution counts of one instance of the order service.
std::string toRunsLine(const std::map<std::string, std::int64_t> &runs);

/// Adds all lines of @p input to @p history. Malformed lines are skipped and counted, because a killed writer leaves a truncated line.
void readLines(std::istream &input, run_history &history);

} // namespace chervilbend::load
