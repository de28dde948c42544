#include <chervilbend/node/operators/queries/day_method.hpp>

#include <chervilbend/node/operators/operator_json.hpp>
#include <chervilbend/node/reports/day_text.hpp>

#include <chrono>
#include <cstdio>

namespace chervilbend::node::queries
{

namespace
{

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

const char *nameOf(day_verdict verdict)
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

Json::Value sectionJson(const day_section &section)
{
    Json::Value json(Json::objectValue);
    json["heading"] = section.heading;
    json["sentence"] = section.sentence;
    json["columns"] = toRpcJson(section.columns);
    json["rows"] = Json::Value(Json::arrayValue);
    for (const std::vector<std::string> &row : section.rows) {
        json["rows"].append(toRpcJson(row));
    }
    return json;
}

} // namespace

day_method::day_method(const recent_days &days)
    : m_days(days)
{
}

std::string day_method::name() const
{
    return "day";
}

std::optional<Json::Value> day_method::call(const Json::Value &parameters)
{
    const base::milliseconds now = base::clock::wallNow();
    const std::string text = textParameter(parameters, "date");
    const auto day = text.empty() ? std::optional(now) : parseDate(text);
    if (!day) {
        return fail(base::error_kind::badRequest, "\"" + text + "\" is not a date as YYYY-MM-DD");
    }
    const day_ledger *ledger = m_days.find(*day);
    // A day without any entry still has a page, which says that nothing is known.
    const day_report report = ledger ? ledger->report(now) : day_ledger(*day).report(now);
    Json::Value result(Json::objectValue);
    result["date"] = dateText(report.day);
    result["verdict"] = nameOf(report.verdict);
    result["firstLine"] = report.firstLine;
    result["text"] = renderDayText(report);
    result["sections"] = Json::Value(Json::arrayValue);
    for (const day_section &section : daySections(report)) {
        result["sections"].append(sectionJson(section));
    }
    return result;
}

} // namespace chervilbend::node::queries
