#pragma once

#include <chervilbend/load/run_history.hpp>

#include <istream>
#include <string>

namespace chervilbend::load
{

/// One line of JSON for each kind of entry, without the end of line.
std::string toLine(const attempt &entry);
std::string toLine(const memory_sample &entry);
std::string toLine(const work_sample &entry);
std::string toLine(const version_sample &entry);
/// The line for one instance's counts of runs.
std::string toRunsLine(const std::map<std::string, std::int64_t> &runs);

/// Adds all lines of @p input to @p history. Lines that are no entry are counted: a killed writer leaves half a line.
void readLines(std::istream &input, run_history &history);

} // namespace chervilbend::load
