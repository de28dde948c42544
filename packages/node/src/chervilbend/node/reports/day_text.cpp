#include <chervilbend/node/reports/day_text.hpp>

#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/quantity.hpp>
#include <chervilbend/node/reports/day_report.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>

namespace chervilbend::node
{

namespace
{

std::string numberText(std::int64_t count)
{
    std::string text = std::to_string(count);
    for (int end = static_cast<int>(text.size()) - 3; end > (count < 0 ? 1 : 0); end -= 3) {
        text.insert(static_cast<std::size_t>(end), 1, ',');
    }
    return text;
}

std::string spanText(int first, int last)
{
    return first == last ? minuteText(first) : config::concat({minuteText(first), " to ", minuteText(last)});
}

day_section attainmentSection(const day_report &report)
{
    day_section section{
        "Attainment", "No requests were counted.", {"service", "class", "requests", "in time", "goal", "late", "refused", "failed", "cancelled"}, {}};
    for (const attainment_row &row : report.attainment) {
        std::string attainment = percentText(row.attainment);
        if (row.lowerBound < row.attainment || row.upperBound > row.attainment) {
            attainment += config::concat({" (", percentText(row.lowerBound), " to ", percentText(row.upperBound), ")"});
        }
        section.rows.push_back({row.service,
                                row.urgency,
                                numberText(row.total()),
                                attainment,
                                percentText(row.goal),
                                numberText(row.late),
                                numberText(row.refused),
                                numberText(row.failed),
                                numberText(row.cancelled)});
    }
    return section;
}

day_section refusalSection(const day_report &report)
{
    day_section section{"Refused", "Nothing was refused.", {"service", "why", "requests"}, {}};
    for (const auto &[name, count] : report.refusals) {
        const std::size_t slash = name.find('/');
        section.rows.push_back({name.substr(0, slash), name.substr(slash + 1), numberText(count)});
    }
    return section;
}

day_section orderSection(const day_report &report)
{
    day_section section{"Orders", "No orders were counted.", {"service", "ran", "not run", "unknown"}, {}};
    for (const auto &[service, orders] : report.orders) {
        section.rows.push_back({service, numberText(orders.ran), numberText(orders.notRun), numberText(orders.unknown)});
    }
    return section;
}

day_section moveSection(const day_report &report)
{
    day_section section{"Moves", "Nothing was loaded or unloaded.", {"loads", "unloads", "bytes loaded", "time in transit"}, {}};
    if (report.loads + report.unloads > 0) {
        section.rows.push_back({numberText(report.loads),
                                numberText(report.unloads),
                                config::formatBytes(base::byte_count(report.loadedBytes)),
                                config::formatDuration(report.loadTime)});
    }
    return section;
}

day_section publishSection(const day_report &report)
{
    day_section section{"Configuration changes", "No changes were published.", {"service", "result", "publishes"}, {}};
    for (const auto &[name, count] : report.publishes) {
        const std::size_t slash = name.find('/');
        section.rows.push_back({name.substr(0, slash), name.substr(slash + 1), numberText(count)});
    }
    return section;
}

day_section failureSection(const day_report &report)
{
    day_section section{"Failures", "No failures were seen.", {"what", "for", "between (UTC)"}, {}};
    for (const failure_row &row : report.failures) {
        section.rows.push_back({row.component, config::formatDuration(row.duration), spanText(row.first, row.last)});
    }
    return section;
}

day_section missingSection(const day_report &report)
{
    day_section section{"Not known", "The counts of all nodes are complete.", {"node", "minutes without counts (UTC)", "number"}, {}};
    for (const missing_minutes &span : report.missing) {
        section.rows.push_back({span.node, spanText(span.first, span.last), numberText(span.last - span.first + 1)});
    }
    if (!section.rows.empty()) {
        section.sentence = "Counts of these minutes are not known. The bounds given under Attainment assume that each had as many requests as the busiest "
                           "reported minute of any "
                           "node, all late for the lower bound and all in time for the upper one; all other numbers are at least as high as shown.";
    }
    return section;
}

std::string padded(const std::string &text, std::size_t width)
{
    return text + std::string(width - std::min(width, text.size()), ' ');
}

std::string tableText(const day_section &section)
{
    std::vector<std::size_t> widths(section.columns.size());
    std::vector<std::vector<std::string>> lines{section.columns};
    lines.insert(lines.end(), section.rows.begin(), section.rows.end());
    for (const std::vector<std::string> &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    std::string text;
    for (const std::vector<std::string> &line : lines) {
        std::string row = " ";
        for (std::size_t i = 0; i < line.size(); ++i) {
            row += config::concat({" ", padded(line[i], i + 1 == line.size() ? 0 : widths[i] + 1)});
        }
        text += config::concat({row, "\n"});
    }
    return text;
}

} // namespace

std::vector<day_section> daySections(const day_report &report)
{
    return {attainmentSection(report),
            refusalSection(report),
            orderSection(report),
            moveSection(report),
            publishSection(report),
            failureSection(report),
            missingSection(report)};
}

std::string renderDayText(const day_report &report)
{
    std::string text = config::concat({report.firstLine, "\n"});
    for (const day_section &section : daySections(report)) {
        text += config::concat({"\n", section.heading, "\n"});
        if (!section.rows.empty()) {
            text += tableText(section);
        }
        if (section.rows.empty() || section.heading == "Not known") {
            text += config::concat({"  ", section.sentence, "\n"});
        }
    }
    return text;
}

std::string percentText(double share)
{
    std::array<char, 16> text{};
    // The small offset compensates for rounding errors, which would turn 0.99 into 98.99%.
    std::snprintf(text.data(), text.size(), "%.2f%%", std::floor(share * 10'000 + 1e-6) / 100);
    return text.data();
}

std::string countText(std::int64_t count, std::string_view one, std::string_view many)
{
    return config::concat({numberText(count), " ", count == 1 ? one : many});
}

std::optional<base::milliseconds> parseDate(const std::string &text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int length = 0;
    if (std::sscanf(text.c_str(), "%4d-%2u-%2u%n", &year, &month, &day, &length) != 3 || length != static_cast<int>(text.size())) { // NOLINT(cert-err34-c)
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month), std::chrono::day(day)};
    if (!date.ok() || year < 1970) {
        return std::nullopt;
    }
    return base::milliseconds(std::chrono::sys_days(date).time_since_epoch());
}

std::string dateText(base::milliseconds day)
{
    const std::chrono::sys_days days{std::chrono::floor<std::chrono::days>(day)};
    const std::chrono::year_month_day date(days);
    std::array<char, 32> text{};
    std::snprintf(
        text.data(), text.size(), "%04d-%02u-%02u", static_cast<int>(date.year()), static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
    return text.data();
}

std::string minuteText(int minute)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%02d:%02d", minute / 60, minute % 60);
    return text.data();
}

} // namespace chervilbend::node
