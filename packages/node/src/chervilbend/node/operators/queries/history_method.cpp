#include <chervilbend/node/operators/queries/history_method.hpp>

#include <chervilbend/node/operators/operator_json.hpp>

#include <vector>

namespace chervilbend::node::queries
{

history_method::history_method(const operator_view &view)
    : m_view(view)
{
}

std::string history_method::name() const
{
    return "history";
}

std::optional<Json::Value> history_method::call(const Json::Value &parameters)
{
    const std::string service = textParameter(parameters, "service");
    const std::vector<publish_record> all = m_view.publishes(base::service_id(service));
    if (all.empty()) {
        return fail(base::error_kind::badRequest, "no publish of service \"" + service + "\" is known here");
    }
    std::vector<Json::Value> entries;
    const publish_record *before = nullptr;
    for (const publish_record &record : all) {
        Json::Value entry = summaryOf(record);
        // For a rejected publish, these are the changes that it would have made to the version in force.
        if (before || record.base.count() == 0) {
            entry["changes"] = changesBetween(before, record);
        }
        if (record.accepted) {
            before = &record;
        }
        entries.push_back(std::move(entry));
    }
    Json::Value result(Json::objectValue);
    result["service"] = service;
    result["publishes"] = Json::Value(Json::arrayValue);
    for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
        result["publishes"].append(std::move(*entry));
    }
    return result;
}

} // namespace chervilbend::node::queries
