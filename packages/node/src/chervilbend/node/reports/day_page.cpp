#include <chervilbend/node/reports/day_page.hpp>

#include <chervilbend/config/concat.hpp>
#include <chervilbend/node/reports/day_report.hpp>
#include <chervilbend/node/reports/day_text.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <string_view>

namespace chervilbend::node
{

namespace
{

constexpr int chartHeight = 100;
constexpr int barWidth = 5;

constexpr std::string_view style =
    "body{font:16px/1.4 sans-serif;margin:1em auto;max-width:50em;padding:0 .8em;color:#222;background:#fff}"
    "h1{font-size:1.15em;border-left:.5em solid;padding-left:.6em}h2{font-size:1em;margin:1.4em 0 .3em}"
    ".well{border-color:#2a7a2a}.notWell{border-color:#b3261e}.notKnown{border-color:#8a6d00}"
    "div{overflow-x:auto}table{border-collapse:collapse;font-size:.9em}"
    "td,th{padding:.2em .7em .2em 0;text-align:left;border-bottom:1px solid #ddd;white-space:nowrap}svg{width:100%;height:auto}p{margin:.3em 0}";

/// Escapes text for HTML. Names come from declarations and from records of other nodes and must not be interpreted as markup.
std::string escaped(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
        }
    }
    return result;
}

std::string_view nameOf(day_verdict verdict)
{
    switch (verdict) {
    case day_verdict::well:
        return "well";
    case day_verdict::notWell:
        return "notWell";
    case day_verdict::notKnown:
        break;
    }
    return "notKnown";
}

std::string bar(std::size_t step, std::int64_t count, std::int64_t maxCount, std::string_view colour)
{
    const int height = static_cast<int>(std::lround(static_cast<double>(count) / static_cast<double>(maxCount) * chartHeight));
    if (height == 0) {
        return {};
    }
    std::array<char, 160> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%.*s\"/>\n",
                  static_cast<int>(step) * barWidth,
                  chartHeight - height,
                  barWidth - 1,
                  height,
                  static_cast<int>(colour.size()),
                  colour.data());
    return text.data();
}

std::string hourLabel(int hour)
{
    std::array<char, 160> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "<text x=\"%d\" y=\"%d\" font-size=\"11\"%s>%02d:00</text>\n",
                  hour * 6 * barWidth,
                  chartHeight + 18,
                  hour == 24 ? " text-anchor=\"end\"" : "",
                  hour);
    return text.data();
}

std::string chart(const day_report &report)
{
    const std::int64_t maxCount = std::max<std::int64_t>(1, *std::ranges::max_element(report.totalBySteps));
    std::string svg = config::concat({"<svg viewBox=\"0 0 ",
                                      std::to_string(day_report::steps * barWidth),
                                      " ",
                                      std::to_string(chartHeight + 22),
                                      "\" role=\"img\" aria-label=\"Requests by 10 minutes\">\n"});
    for (std::size_t step = 0; step < day_report::steps; ++step) {
        if (report.isStepIncomplete[step]) {
            svg += bar(step, 1, 1, "#f3e3a2");
        }
        svg += bar(step, report.totalBySteps[step], maxCount, "#b3261e");
        svg += bar(step, report.metBySteps[step], maxCount, "#4a7fb5");
    }
    for (const int hour : {0, 6, 12, 18, 24}) {
        svg += hourLabel(hour);
    }
    svg += "</svg>\n";
    return svg
        + config::concat({"<p>Requests by 10 minutes (UTC), at most ",
                          countText(maxCount, "request", "requests"),
                          ". Blue: in time. Red: late, refused or failed. Yellow: counts are missing.</p>\n"});
}

std::string row(const std::vector<std::string> &cells, std::string_view tag)
{
    std::string html = "<tr>";
    for (const std::string &cell : cells) {
        html += config::concat({"<", tag, ">", escaped(cell), "</", tag, ">"});
    }
    return html + "</tr>\n";
}

std::string sectionHtml(const day_section &section)
{
    std::string html = config::concat({"<h2>", escaped(section.heading), "</h2>\n"});
    if (!section.rows.empty()) {
        html += "<div><table>\n" + row(section.columns, "th");
        for (const std::vector<std::string> &cells : section.rows) {
            html += row(cells, "td");
        }
        html += "</table></div>\n";
    }
    if (section.rows.empty() || section.heading == "Not known") {
        html += config::concat({"<p>", escaped(section.sentence), "</p>\n"});
    }
    return html;
}

} // namespace

std::string renderDayPage(const day_report &report)
{
    std::string html = config::concat({"<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n",
                                       "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n<title>chervilbend, ",
                                       escaped(dateText(report.day)),
                                       "</title>\n<style>",
                                       style,
                                       "</style>\n</head>\n<body>\n<h1 class=\"",
                                       nameOf(report.verdict),
                                       "\">",
                                       escaped(report.firstLine),
                                       "</h1>\n"});
    html += chart(report);
    for (const day_section &section : daySections(report)) {
        html += sectionHtml(section);
    }
    return html + "</body>\n</html>\n";
}

} // namespace chervilbend::node
