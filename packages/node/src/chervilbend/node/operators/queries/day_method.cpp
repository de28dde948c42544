#include <chervilbend/node/operators/queries/day_method.hpp>

#include <chervilbend/node/operators/operator_json.hpp>
#include <chervilbend/node/reports/day_text.hpp>

namespace chervilbend::node::queries
{

namespace
{

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
    const day_report report = m_days.report(*day, now);
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
