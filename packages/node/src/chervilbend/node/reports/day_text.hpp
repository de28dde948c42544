#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::node
{

struct day_report;

/// A section of the daily page: a heading and a table, or a single sentence if there is nothing to list.
struct day_section {
    std::string heading;
    std::string sentence;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/// The sections of the page after its first line and chart, for the text and the HTML rendering.
std::vector<day_section> daySections(const day_report &report);

/// The page as text, for chervilctl.
std::string renderDayText(const day_report &report);

/// "99.12%", rounded down, so that a missed goal never appears to be reached.
std::string percentText(double share);

/// "1 order", "12,345 orders".
std::string countText(std::int64_t count, std::string_view one, std::string_view many);

} // namespace chervilbend::node
