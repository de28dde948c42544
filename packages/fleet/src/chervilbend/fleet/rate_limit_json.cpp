#include <chervilbend/fleet/rate_limit_json.hpp>

#include <chervilbend/fleet/quota_json.hpp>

#include <cmath>
#include <utility>

namespace chervilbend::fleet
{

namespace
{

/// The members of an item of a list.
constexpr Json::ArrayIndex endpointMember = 0;
constexpr Json::ArrayIndex startMember = 1;
constexpr Json::ArrayIndex valueMember = 2;
constexpr Json::ArrayIndex ageMember = 3;

bool isProcess(const Json::Value &item)
{
    return item.isArray() && item.size() > startMember && item[endpointMember].isString() && item[startMember].isInt64();
}

routing::endpoint_process processOf(const Json::Value &item)
{
    return {base::endpoint_id(item[endpointMember].asString()), item[startMember].asInt64()};
}

bool isCount(const Json::Value &value)
{
    return value.isNumeric() && std::isfinite(value.asDouble()) && value.asDouble() >= 0 && value.asDouble() <= routing::maxRequestRate;
}

Json::Value itemFor(const routing::endpoint_process &process)
{
    Json::Value item(Json::arrayValue);
    item.append(process.endpoint.value());
    item.append(static_cast<Json::Int64>(process.startedAt));
    return item;
}

Json::Value toJson(const std::map<routing::endpoint_process, int> &counts)
{
    Json::Value list(Json::arrayValue);
    for (const auto &[process, count] : counts) {
        list.append(itemFor(process)).append(count);
    }
    return list;
}

/// False if an item is invalid.
bool readCounts(const Json::Value &list, std::map<routing::endpoint_process, int> &counts)
{
    if (!list.isArray()) {
        return false;
    }
    for (const Json::Value &item : list) {
        if (!isProcess(item) || item.size() <= valueMember || !isCount(item[valueMember])) {
            return false;
        }
        counts[processOf(item)] = static_cast<int>(item[valueMember].asDouble());
    }
    return true;
}

Json::Value toJson(const std::vector<routing::rate_limit_statement> &statements)
{
    Json::Value list(Json::arrayValue);
    for (const routing::rate_limit_statement &statement : statements) {
        Json::Value &item = list.append(itemFor(statement.process));
        item.append(statement.requestRate ? Json::Value(*statement.requestRate) : Json::Value());
        item.append(static_cast<Json::Int64>(statement.age.count()));
    }
    return list;
}

bool readStatements(const Json::Value &list, std::vector<routing::rate_limit_statement> &statements)
{
    if (!list.isArray()) {
        return false;
    }
    for (const Json::Value &item : list) {
        const bool isValid = isProcess(item) && item.size() > ageMember && (item[valueMember].isNull() || isCount(item[valueMember]))
            && item[ageMember].isInt64() && item[ageMember].asInt64() >= 0;
        if (!isValid) {
            return false;
        }
        routing::rate_limit_statement &statement = statements.emplace_back();
        statement.process = processOf(item);
        if (!item[valueMember].isNull()) {
            statement.requestRate = item[valueMember].asDouble();
        }
        statement.age = base::milliseconds(item[ageMember].asInt64());
    }
    return true;
}

/// Each item has the endpoints that would do, and the number of requests.
Json::Value toJson(const std::vector<routing::waiting_requests> &waiting)
{
    Json::Value list(Json::arrayValue);
    for (const routing::waiting_requests &each : waiting) {
        Json::Value &item = list.append(Json::Value(Json::objectValue));
        item["count"] = each.count;
        item["endpoints"] = Json::Value(Json::arrayValue);
        for (const routing::endpoint_process &process : each.endpoints) {
            item["endpoints"].append(itemFor(process));
        }
    }
    return list;
}

bool readWaiting(const Json::Value &list, std::vector<routing::waiting_requests> &waiting)
{
    if (!list.isArray()) {
        return false;
    }
    for (const Json::Value &item : list) {
        if (!item.isObject() || !item["count"].isInt() || !isCount(item["count"]) || !item["endpoints"].isArray()) {
            return false;
        }
        routing::waiting_requests &each = waiting.emplace_back();
        each.count = item["count"].asInt();
        for (const Json::Value &endpoint : item["endpoints"]) {
            if (!isProcess(endpoint)) {
                return false;
            }
            each.endpoints.push_back(processOf(endpoint));
        }
    }
    return true;
}

} // namespace

Json::Value toJson(const routing::rate_limit_report &report)
{
    Json::Value json(Json::objectValue);
    json["allocator"] = static_cast<Json::Int64>(report.allocator);
    json["version"] = static_cast<Json::Int64>(report.version);
    json["statements"] = toJson(report.statements);
    json["waiting"] = toJson(report.waiting);
    json["expected"] = toJson(report.expected);
    json["unused"] = toJson(report.unused);
    json["quotas"] = toJson(report.quotas);
    return json;
}

std::optional<routing::rate_limit_report> readRateLimitReport(const Json::Value &json)
{
    routing::rate_limit_report report;
    const bool isValid = json.isObject() && json["allocator"].isInt64() && json["version"].isInt64() && readStatements(json["statements"], report.statements)
        && readWaiting(json["waiting"], report.waiting) && readCounts(json["expected"], report.expected) && readCounts(json["unused"], report.unused);
    if (!isValid) {
        return std::nullopt;
    }
    report.allocator = json["allocator"].asInt64();
    report.version = json["version"].asInt64();
    report.quotas = readQuotaReport(json["quotas"]);
    return report;
}

Json::Value toJson(const routing::rate_limit_answer &answer)
{
    Json::Value json(Json::objectValue);
    json["allocator"] = static_cast<Json::Int64>(answer.allocator);
    json["version"] = static_cast<Json::Int64>(answer.version);
    json["statements"] = toJson(answer.statements);
    json["granted"] = toJson(answer.granted);
    json["quotas"] = toJson(answer.quotas);
    return json;
}

std::optional<routing::rate_limit_answer> readRateLimitAnswer(const Json::Value &json)
{
    routing::rate_limit_answer answer;
    const bool isValid = json.isObject() && json["allocator"].isInt64() && json["version"].isInt64() && readStatements(json["statements"], answer.statements)
        && readCounts(json["granted"], answer.granted);
    if (!isValid) {
        return std::nullopt;
    }
    answer.allocator = json["allocator"].asInt64();
    answer.version = json["version"].asInt64();
    answer.quotas = readQuotaAnswer(json["quotas"]);
    return answer;
}

} // namespace chervilbend::fleet
