#include <chervilbend/fleet/exchange_json.hpp>

#include <chervilbend/fleet/json_members.hpp>
#include <chervilbend/fleet/prompt_evidence_json.hpp>
#include <chervilbend/fleet/rate_limit_json.hpp>
#include <chervilbend/fleet/store_update_json.hpp>
#include <chervilbend/routing/unreachable_endpoints.hpp>

namespace chervilbend::fleet
{

namespace
{

bool hasNumber(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isInt64();
}

/// These members are missing in messages of nodes that still run the version before them.
std::optional<routing::prompt_evidence> readPromptsMember(const Json::Value &json)
{
    return json.isMember("prompts") ? readPromptEvidence(json["prompts"]) : routing::prompt_evidence{};
}

std::optional<routing::rate_limit_report> readRateLimitReportMember(const Json::Value &json)
{
    return json.isMember("limits") ? readRateLimitReport(json["limits"]) : routing::rate_limit_report{};
}

std::optional<routing::rate_limit_answer> readRateLimitAnswerMember(const Json::Value &json)
{
    return json.isMember("limits") ? readRateLimitAnswer(json["limits"]) : routing::rate_limit_answer{};
}

Json::Value toJson(const std::vector<routing::endpoint_process> &processes)
{
    Json::Value list(Json::arrayValue);
    for (const routing::endpoint_process &process : processes) {
        Json::Value &item = list.append(Json::Value(Json::objectValue));
        item["endpoint"] = process.endpoint.value();
        item["born"] = static_cast<Json::Int64>(process.startedAt);
    }
    return list;
}

/// Items that cannot be read are skipped.
std::vector<routing::endpoint_process> readProcesses(const Json::Value &list)
{
    std::vector<routing::endpoint_process> processes;
    for (Json::ArrayIndex i = 0; list.isArray() && i < list.size(); ++i) {
        if (hasText(list[i], "endpoint") && hasNumber(list[i], "born")) {
            processes.push_back({base::endpoint_id(list[i]["endpoint"].asString()), list[i]["born"].asInt64()});
        }
    }
    return processes;
}

std::vector<routing::endpoint_process> readUnreachable(const Json::Value &json)
{
    std::vector<routing::endpoint_process> processes = readProcesses(json["unreachable"]);
    if (processes.size() > routing::unreachable_endpoints::maxListed) {
        processes.resize(routing::unreachable_endpoints::maxListed);
    }
    return processes;
}

Json::Value toJson(const routing::helper_node &helper)
{
    Json::Value json(Json::objectValue);
    json["address"] = helper.address;
    json["zone"] = helper.zone.value();
    json["canHelp"] = helper.canHelp;
    json["takesAccounts"] = helper.takesAccounts;
    return json;
}

std::optional<routing::helper_node> readHelper(const Json::Value &json)
{
    if (!hasText(json, "address") || !hasText(json, "zone") || !json["canHelp"].isBool()) {
        return std::nullopt;
    }
    const Json::Value &takesAccounts = json["takesAccounts"];
    return routing::helper_node{
        json["address"].asString(), base::zone_id(json["zone"].asString()), json["canHelp"].asBool(), takesAccounts.isBool() && takesAccounts.asBool()};
}

} // namespace

Json::Value toJson(const node_report &report)
{
    Json::Value json(Json::objectValue);
    json["node"] = report.node.value();
    json["token"] = static_cast<Json::Int64>(report.token);
    json["version"] = static_cast<Json::Int64>(report.version);
    json["registrations"] = static_cast<Json::Int64>(report.registrationsVersion);
    json["prompts"] = toJson(report.prompts);
    json["limits"] = toJson(report.rateLimits);
    json["leaving"] = toJson(report.leaving);
    if (!report.unreachable.empty()) {
        json["unreachable"] = toJson(report.unreachable);
    }
    if (report.helper) {
        json["helper"] = toJson(*report.helper);
    }
    Json::Value &open = json["open"] = Json::Value(Json::objectValue);
    for (const auto &[model, count] : report.open) {
        open[model] = count;
    }
    Json::Value &used = json["used"] = Json::Value(Json::arrayValue);
    for (const std::string &adapter : report.used) {
        used.append(adapter);
    }
    return json;
}

std::optional<node_report> readNodeReport(const Json::Value &json)
{
    if (!hasText(json, "node") || !hasNumber(json, "token") || !hasNumber(json, "version") || !hasNumber(json, "registrations") || !json["open"].isObject()
        || !json["used"].isArray()) {
        return std::nullopt;
    }
    std::optional<routing::prompt_evidence> prompts = readPromptsMember(json);
    std::optional<routing::rate_limit_report> rateLimits = readRateLimitReportMember(json);
    if (!prompts || !rateLimits) {
        return std::nullopt;
    }
    node_report report;
    report.prompts = std::move(*prompts);
    report.rateLimits = std::move(*rateLimits);
    report.leaving = readProcesses(json["leaving"]);
    report.unreachable = readUnreachable(json);
    report.helper = readHelper(json["helper"]);
    report.node = base::node_id(json["node"].asString());
    report.token = json["token"].asInt64();
    report.version = json["version"].asInt64();
    report.registrationsVersion = json["registrations"].asInt64();
    for (const std::string &model : json["open"].getMemberNames()) {
        if (json["open"][model].isInt()) {
            report.open[model] = json["open"][model].asInt();
        }
    }
    for (const Json::Value &adapter : json["used"]) {
        if (adapter.isString()) {
            report.used.push_back(adapter.asString());
        }
    }
    return report;
}

Json::Value toJson(const std::vector<engine_update> &updates)
{
    Json::Value list(Json::arrayValue);
    for (const engine_update &each : updates) {
        Json::Value &item = list.append(Json::Value(Json::objectValue));
        item["engine"] = each.engine.value();
        item["born"] = static_cast<Json::Int64>(each.startedAt);
        item["token"] = static_cast<Json::Int64>(each.token);
        item["version"] = static_cast<Json::Int64>(each.version);
        Json::Value &models = item["models"] = Json::Value(Json::objectValue);
        for (const resident_model &model : each.models) {
            Json::Value &adapters = models[model.name] = Json::Value(Json::arrayValue);
            for (const std::string &adapter : model.adapters) {
                adapters.append(adapter);
            }
        }
    }
    return list;
}

std::optional<std::vector<engine_update>> readEngineUpdates(const Json::Value &json)
{
    if (!json.isArray()) {
        return std::nullopt;
    }
    std::vector<engine_update> updates;
    for (const Json::Value &item : json) {
        if (!hasText(item, "engine") || !hasNumber(item, "born") || !hasNumber(item, "token") || !hasNumber(item, "version") || !item["models"].isObject()) {
            return std::nullopt;
        }
        engine_update &each = updates.emplace_back();
        each.engine = base::endpoint_id(item["engine"].asString());
        each.startedAt = item["born"].asInt64();
        each.token = item["token"].asInt64();
        each.version = item["version"].asInt64();
        for (const std::string &name : item["models"].getMemberNames()) {
            resident_model &model = each.models.emplace_back();
            model.name = name;
            for (const Json::Value &adapter : item["models"][name]) {
                if (adapter.isString()) {
                    model.adapters.push_back(adapter.asString());
                }
            }
        }
    }
    return updates;
}

Json::Value toJson(const holder_response &answer)
{
    Json::Value json(Json::objectValue);
    json["holder"] = answer.lease.holder.value();
    json["life"] = static_cast<Json::Int64>(answer.lease.incarnation);
    json["address"] = answer.lease.peerAddress;
    json["token"] = static_cast<Json::Int64>(answer.lease.token);
    json["renewal"] = static_cast<Json::Int64>(answer.lease.renewal);
    json["offset"] = static_cast<Json::Int64>(answer.offset);
    json["ageMs"] = static_cast<Json::Int64>(answer.age.count());
    json["intervalMs"] = static_cast<Json::Int64>(answer.reportInterval.count());
    json["nodes"] = answer.nodes;
    if (answer.rank) {
        json["rank"] = *answer.rank;
    }
    json["version"] = static_cast<Json::Int64>(answer.version);
    json["news"] = toJson(answer.updates);
    json["store"] = toJson(answer.store);
    json["prompts"] = toJson(answer.prompts);
    json["limits"] = toJson(answer.rateLimits);
    json["leaving"] = toJson(answer.leaving);
    if (!answer.unreachable.empty()) {
        json["unreachable"] = toJson(answer.unreachable);
    }
    Json::Value &helpers = json["helpers"] = Json::Value(Json::arrayValue);
    for (const routing::helper_node &helper : answer.helpers) {
        helpers.append(toJson(helper));
    }
    return json;
}

std::optional<holder_response> readHolderResponse(const Json::Value &json)
{
    for (const char *name : {"life", "token", "renewal", "offset", "ageMs", "nodes", "version"}) {
        if (!hasNumber(json, name)) {
            return std::nullopt;
        }
    }
    std::optional<std::vector<engine_update>> updates = readEngineUpdates(json["news"]);
    std::optional<store_update> store = readStoreUpdate(json["store"]);
    std::optional<routing::prompt_evidence> prompts = readPromptsMember(json);
    std::optional<routing::rate_limit_answer> rateLimits = readRateLimitAnswerMember(json);
    if (!hasText(json, "holder") || !hasText(json, "address") || !updates || !store || !prompts || !rateLimits) {
        return std::nullopt;
    }
    holder_response answer;
    answer.lease.holder = base::node_id(json["holder"].asString());
    answer.lease.incarnation = json["life"].asInt64();
    answer.lease.peerAddress = json["address"].asString();
    answer.lease.token = json["token"].asInt64();
    answer.lease.renewal = json["renewal"].asInt64();
    answer.offset = json["offset"].asInt64();
    answer.age = base::milliseconds(json["ageMs"].asInt64());
    if (hasNumber(json, "intervalMs")) {
        answer.reportInterval = base::milliseconds(json["intervalMs"].asInt64());
    }
    answer.nodes = json["nodes"].asInt();
    if (json["rank"].isInt()) {
        answer.rank = json["rank"].asInt();
    }
    answer.version = json["version"].asInt64();
    answer.updates = std::move(*updates);
    answer.store = std::move(*store);
    answer.prompts = std::move(*prompts);
    answer.rateLimits = std::move(*rateLimits);
    answer.leaving = readProcesses(json["leaving"]);
    answer.unreachable = readUnreachable(json);
    const Json::Value &helpers = json["helpers"];
    for (Json::ArrayIndex i = 0; helpers.isArray() && i < helpers.size(); ++i) {
        if (std::optional<routing::helper_node> helper = readHelper(helpers[i])) {
            answer.helpers.push_back(std::move(*helper));
        }
    }
    return answer;
}

Json::Value toJson(const requested_item &item)
{
    Json::Value json(Json::objectValue);
    json["service"] = item.service.value();
    json["model"] = item.model;
    json["adapter"] = item.adapter;
    return json;
}

std::optional<requested_item> readRequestedItem(const Json::Value &json)
{
    if (!hasText(json, "service") || !hasText(json, "model") || !hasText(json, "adapter")) {
        return std::nullopt;
    }
    return requested_item{base::service_id(json["service"].asString()), json["model"].asString(), json["adapter"].asString()};
}

} // namespace chervilbend::fleet
