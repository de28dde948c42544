#include <chervilbend/node/operators/queries/publish_status_method.hpp>

#include <chervilbend/node/operators/operator_json.hpp>

#include <algorithm>

namespace chervilbend::node::queries
{

publish_status_method::publish_status_method(const operator_view &view)
    : m_view(view)
{
}

std::string publish_status_method::name() const
{
    return "publishStatus";
}

std::optional<Json::Value> publish_status_method::call(const Json::Value &parameters)
{
    const std::string publishId = textParameter(parameters, "publishId");
    if (publishId.empty()) {
        return fail(base::error_kind::badRequest, "publishId is required");
    }
    const auto record = m_view.findPublish(publishId);
    Json::Value result = record ? summaryOf(*record) : Json::Value(Json::objectValue);
    result["node"] = m_view.self().value();
    result["folded"] = toRpcJson(m_view.appliedOffset());
    result["logReachable"] = m_view.log().reachable;
    result["inForceHere"] = false;
    if (!record) {
        result["publishId"] = publishId;
        result["state"] = "unknown";
        return result;
    }
    if (!record->accepted) {
        describeRejected(*record, result);
        return result;
    }
    const auto current = m_view.services().find(record->service);
    if (current != m_view.services().end()) {
        result["inForceHere"] = current->second.version == record->offset;
        if (current->second.version > record->offset) {
            result["supersededBy"] = toRpcJson(current->second.version);
        }
    } else {
        // The state does not keep withdrawn services.
        const std::vector<publish_record> all = m_view.publishes(record->service);
        const auto last = std::ranges::find_if(all.rbegin(), all.rend(), &publish_record::accepted);
        result["inForceHere"] = last != all.rend() && last->offset == record->offset;
    }
    return result;
}

void publish_status_method::describeRejected(const publish_record &record, Json::Value &result) const
{
    const std::vector<publish_record> all = m_view.publishes(record.service);
    const auto winner = std::ranges::find(all, record.winner, &publish_record::offset);
    result["winner"] = Json::Value(Json::objectValue);
    result["winner"]["version"] = toRpcJson(record.winner);
    if (winner != all.end()) {
        result["winner"]["author"] = winner->author;
        result["winner"]["publishId"] = winner->publishId;
        result["differs"] = changesBetween(&*winner, record);
    }
}

} // namespace chervilbend::node::queries
