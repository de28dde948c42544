#include <chervilbend/node/reports/day_verdict_text.hpp>

#include <chervilbend/config/concat.hpp>
#include <chervilbend/config/quantity.hpp>
#include <chervilbend/node/reports/day_report.hpp>
#include <chervilbend/node/reports/day_text.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace chervilbend::node
{

namespace
{

std::string rowText(const attainment_row &row)
{
    return config::concat({row.urgency, " work of ", row.service});
}

std::vector<std::string> certainFailures(const day_report &report)
{
    std::vector<std::string> reasons;
    for (const attainment_row &row : report.attainment) {
        if (row.upperBound < row.goal) {
            reasons.push_back(config::concat({rowText(row), " met ", percentText(row.attainment), " of its deadlines (goal ", percentText(row.goal), ")"}));
        }
    }
    std::int64_t unknown = 0;
    for (const auto &[service, orders] : report.orders) {
        unknown += orders.unknown;
    }
    if (unknown > 0) {
        reasons.push_back(config::concat({"it is not known of ", countText(unknown, "order", "orders"), " whether they ran"}));
    }
    for (const failure_row &row : report.failures) {
        if (row.component.starts_with("model ")) {
            reasons.push_back(config::concat({row.component, " had no loaded copy for ", config::formatDuration(row.duration)}));
        }
    }
    return reasons;
}

std::vector<std::string> possibleFailures(const day_report &report)
{
    std::vector<std::string> reasons;
    for (const attainment_row &row : report.attainment) {
        if (row.lowerBound < row.goal && row.upperBound >= row.goal) {
            reasons.push_back(config::concat({rowText(row),
                                              " met between ",
                                              percentText(row.lowerBound),
                                              " and ",
                                              percentText(row.upperBound),
                                              " of its deadlines (goal ",
                                              percentText(row.goal),
                                              ")"}));
        }
    }
    return reasons;
}

std::string joinReasons(const std::vector<std::string> &reasons)
{
    std::string text;
    for (const std::string &reason : reasons) {
        text += config::concat({text.empty() ? "" : "; ", reason});
    }
    return text;
}

std::int64_t missingCount(const day_report &report)
{
    std::int64_t count = 0;
    for (const missing_minutes &span : report.missing) {
        count += span.last - span.first + 1;
    }
    return count;
}

std::string wellText(const day_report &report, std::int64_t requests)
{
    // The row with the smallest margin over its goal is the most informative one.
    const auto nearest = std::ranges::min_element(report.attainment, {}, [](const attainment_row &row) { return row.lowerBound - row.goal; });
    return config::concat({"went well: ",
                           countText(requests, "request", "requests"),
                           "; nearest to its goal was ",
                           rowText(*nearest),
                           " with ",
                           percentText(nearest->attainment),
                           " of its deadlines met (goal ",
                           percentText(nearest->goal),
                           ")"});
}

} // namespace

void determineVerdict(day_report &report)
{
    const std::string day = config::concat({dateText(report.day), report.endMinute < 1'440 ? " until " + minuteText(report.endMinute) + " UTC " : " "});
    std::int64_t requests = 0;
    for (const attainment_row &row : report.attainment) {
        requests += row.total();
    }
    const std::vector<std::string> failures = certainFailures(report);
    const std::vector<std::string> possible = possibleFailures(report);
    std::string text;
    if (!failures.empty()) {
        report.verdict = day_verdict::notWell;
        text = "did not go well: " + joinReasons(failures);
    } else if (!possible.empty()) {
        report.verdict = day_verdict::notKnown;
        text = "may not have gone well: counts are missing, and " + joinReasons(possible);
    } else if (requests == 0) {
        report.verdict = day_verdict::notKnown;
        text = report.nodes == 0 ? "is not known: no node has reported any counts" : "is not known: no requests were counted";
    } else {
        report.verdict = day_verdict::well;
        text = wellText(report, requests);
        if (!report.missing.empty()) {
            text += config::concat(
                {"; counts of ", countText(missingCount(report), "minute", "minutes"), " are not known; their effect on attainment is within its bounds"});
        }
    }
    report.firstLine = day + text;
}

} // namespace chervilbend::node
