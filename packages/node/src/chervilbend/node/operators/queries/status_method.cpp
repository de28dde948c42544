#include <chervilbend/node/operators/queries/status_method.hpp>

#include <chervilbend/node/operators/operator_json.hpp>

namespace chervilbend::node::queries
{

namespace
{

const char *nameOf(state::residency residency)
{
    switch (residency) {
    case state::residency::assigned:
        return "assigned";
    case state::residency::loaded:
        return "loaded";
    case state::residency::dropping:
        break;
    }
    return "dropping";
}

Json::Value integerJson(std::int64_t number)
{
    return static_cast<Json::Int64>(number);
}

Json::Value serviceJson(const state::service_view &service, bool withDeclaration)
{
    Json::Value json(Json::objectValue);
    json["service"] = service.declaration.service.value();
    json["version"] = toRpcJson(service.version);
    json["publishId"] = service.publishId;
    json["author"] = service.author;
    json["models"] = integerJson(static_cast<std::int64_t>(service.declaration.models.size()));
    json["routes"] = integerJson(static_cast<std::int64_t>(service.declaration.routes.size()));
    if (withDeclaration) {
        json["declaration"] = toRpcJson(service.declaration);
    }
    return json;
}

Json::Value endpointJson(const base::endpoint_id &id, const state::endpoint_view &endpoint)
{
    Json::Value json(Json::objectValue);
    json["endpoint"] = id.value();
    json["address"] = endpoint.address;
    json["zone"] = endpoint.zone.value();
    json["memory"] = integerJson(endpoint.memory.count());
    json["reserved"] = integerJson(endpoint.reserved.count());
    json["checksFencing"] = endpoint.checksFencing;
    json["items"] = Json::Value(Json::arrayValue);
    for (const auto &[item, residency] : endpoint.items) {
        Json::Value entry(Json::objectValue);
        entry["item"] = item.value();
        entry["state"] = nameOf(residency.state);
        entry["bytes"] = integerJson(residency.bytes.count());
        json["items"].append(std::move(entry));
    }
    return json;
}

Json::Value nodeJson(const known_node &node)
{
    Json::Value json(Json::objectValue);
    json["node"] = node.id.value();
    json["address"] = node.address;
    json["zone"] = node.zone.value();
    json["state"] = node.state;
    json["leaving"] = node.draining;
    return json;
}

} // namespace

status_method::status_method(const operator_view &view)
    : m_view(view)
{
}

std::string status_method::name() const
{
    return "status";
}

std::optional<Json::Value> status_method::call(const Json::Value &parameters)
{
    const bool withDeclarations = parameters.isObject() && parameters["declarations"].isBool() && parameters["declarations"].asBool();
    const log_status log = m_view.log();
    Json::Value result(Json::objectValue);
    result["node"] = m_view.self().value();
    result["folded"] = toRpcJson(m_view.appliedOffset());
    result["log"]["reachable"] = log.reachable;
    result["log"]["ageMs"] = integerJson(log.lastAnswerAge.count());
    result["log"]["head"] = toRpcJson(log.head);
    for (const char *list : {"services", "withdrawn", "leases", "endpoints", "nodes"}) {
        result[list] = Json::Value(Json::arrayValue);
    }
    for (const auto &[id, service] : m_view.services()) {
        result["services"].append(serviceJson(service, withDeclarations));
    }
    for (const publish_record &record : m_view.withdrawals()) {
        Json::Value json(Json::objectValue);
        json["service"] = record.service.value();
        json["version"] = toRpcJson(record.offset);
        json["author"] = record.author;
        result["withdrawn"].append(std::move(json));
    }
    for (const auto &[name, lease] : m_view.leases()) {
        Json::Value json(Json::objectValue);
        json["lease"] = name.value();
        json["holder"] = lease.holder.value();
        json["token"] = toRpcJson(lease.token);
        result["leases"].append(std::move(json));
    }
    for (const auto &[id, endpoint] : m_view.endpoints()) {
        result["endpoints"].append(endpointJson(id, endpoint));
    }
    for (const known_node &node : m_view.nodes()) {
        result["nodes"].append(nodeJson(node));
    }
    return result;
}

} // namespace chervilbend::node::queries
