#include <chervilbend/fleet/configuration_read_json.hpp>

namespace chervilbend::fleet
{

namespace
{

bool isNotNegative(const Json::Value &json)
{
    return json.isInt64() && json.asInt64() >= 0;
}

} // namespace

Json::Value toJson(const configuration_request &request)
{
    Json::Value json(Json::objectValue);
    json["node"] = request.node.value();
    if (request.version) {
        json["version"] = static_cast<Json::Int64>(*request.version);
    }
    return json;
}

Json::Value toJson(const remote_configuration &answer)
{
    Json::Value json(Json::objectValue);
    json["node"] = answer.node.value();
    json["record"] = answer.record;
    json["version"] = static_cast<Json::Int64>(answer.version);
    json["position"] = static_cast<Json::Int64>(answer.position);
    json["ageMs"] = static_cast<Json::Int64>(answer.age.count());
    return json;
}

std::optional<configuration_request> readConfigurationRequest(const Json::Value &json)
{
    if (!json.isObject() || !json["node"].isString() || (json.isMember("version") && !json["version"].isInt64())) {
        return std::nullopt;
    }
    configuration_request request;
    request.node = base::node_id(json["node"].asString());
    if (json.isMember("version")) {
        request.version = json["version"].asInt64();
    }
    return request;
}

std::optional<remote_configuration> readRemoteConfiguration(const Json::Value &json)
{
    if (!json.isObject() || !json["node"].isString() || !json["record"].isString() || !json["version"].isInt64() || !isNotNegative(json["position"])
        || !isNotNegative(json["ageMs"])) {
        return std::nullopt;
    }
    remote_configuration answer;
    answer.node = base::node_id(json["node"].asString());
    answer.record = json["record"].asString();
    answer.version = json["version"].asInt64();
    answer.position = json["position"].asInt64();
    answer.age = base::milliseconds(json["ageMs"].asInt64());
    return answer;
}

} // namespace chervilbend::fleet
