#include <chervilbend/fleet/quota_json.hpp>

#include <chervilbend/fleet/json_members.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace chervilbend::fleet
{

namespace
{

/// Units are sent as whole thousandths, which are exact and much shorter than the digits of a floating-point number.
constexpr double stepsPerUnit = 1'000;
constexpr double millisecondsPerSecond = 1'000;
constexpr std::int64_t largestNumber = std::int64_t{1} << 50U;

constexpr std::size_t usageNumbers = 10;
constexpr std::size_t grantNumbers = 5;
/// How messages name a unit.
constexpr int requestsCode = 0;
constexpr int tokensCode = 1;

template<std::size_t Count>
Json::Value writeNumbers(const std::array<double, Count> &numbers)
{
    Json::Value list(Json::arrayValue);
    for (const double number : numbers) {
        const double scaled = std::min(std::max(0.0, number) * stepsPerUnit, static_cast<double>(largestNumber));
        list.append(static_cast<Json::Int64>(std::llround(scaled)));
    }
    return list;
}

/// False if there are fewer numbers, or one is not valid. Later versions may add some.
template<std::size_t Count>
bool readNumbers(const Json::Value &list, std::array<double, Count> &numbers)
{
    if (!list.isArray() || list.size() < Count) {
        return false;
    }
    for (std::size_t i = 0; i < Count; ++i) {
        const Json::Value &number = list[static_cast<Json::ArrayIndex>(i)];
        if (!number.isInt64() || number.asInt64() < 0 || number.asInt64() > largestNumber) {
            return false;
        }
        numbers[i] = static_cast<double>(number.asInt64()) / stepsPerUnit;
    }
    return true;
}

/// Reads the unit, which stands after the numbers of an account. Leaves @p unit without a value if it is missing, as in messages of earlier versions. False if
/// it is not a known unit.
bool readUnit(const Json::Value &list, std::optional<routing::quota_unit> &unit)
{
    if (list.size() <= usageNumbers) {
        return true;
    }
    const Json::Value &number = list[static_cast<Json::ArrayIndex>(usageNumbers)];
    if (!number.isInt() || (number.asInt() != requestsCode && number.asInt() != tokensCode)) {
        return false;
    }
    unit = number.asInt() == tokensCode ? routing::quota_unit::tokens : routing::quota_unit::requests;
    return true;
}

} // namespace

Json::Value toJson(const routing::quota_report &report)
{
    Json::Value json(Json::objectValue);
    json["node"] = report.node.value();
    json["process"] = static_cast<Json::Int64>(report.process);
    json["term"] = static_cast<Json::Int64>(report.term);
    if (report.answerAge) {
        json["answerAgeMs"] = static_cast<Json::Int64>(report.answerAge->count());
    }
    Json::Value &accounts = json["accounts"] = Json::Value(Json::objectValue);
    for (const auto &[id, usage] : report.accounts) {
        Json::Value &numbers = accounts[id.value()] = writeNumbers<usageNumbers>({usage.balance,
                                                                                  usage.returned,
                                                                                  usage.waiting,
                                                                                  usage.firstWaiting,
                                                                                  usage.expected,
                                                                                  usage.demandRate,
                                                                                  usage.spentIsolated,
                                                                                  usage.share.rate,
                                                                                  usage.share.sumOfRates,
                                                                                  usage.share.level});
        if (usage.unit) {
            numbers.append(*usage.unit == routing::quota_unit::tokens ? tokensCode : requestsCode);
        }
    }
    return json;
}

routing::quota_report readQuotaReport(const Json::Value &json)
{
    routing::quota_report report;
    if (!hasText(json, "node") || !json["process"].isInt64() || !json["term"].isInt64() || !json["accounts"].isObject()) {
        return report;
    }
    report.node = base::node_id(json["node"].asString());
    report.process = json["process"].asInt64();
    report.term = json["term"].asInt64();
    if (json["answerAgeMs"].isInt64() && json["answerAgeMs"].asInt64() >= 0) {
        report.answerAge = base::milliseconds(json["answerAgeMs"].asInt64());
    }
    for (const std::string &name : json["accounts"].getMemberNames()) {
        const Json::Value &list = json["accounts"][name];
        std::array<double, usageNumbers> numbers{};
        std::optional<routing::quota_unit> unit;
        if (readNumbers(list, numbers) && readUnit(list, unit)) {
            const auto [balance, returned, waiting, firstWaiting, expected, demandRate, spentIsolated, rate, sumOfRates, level] = numbers;
            report.accounts[base::account_id(name)] = {
                balance, returned, waiting, firstWaiting, expected, demandRate, spentIsolated, {rate, sumOfRates, level}, unit};
        }
    }
    return report;
}

Json::Value toJson(const routing::quota_answer &answer)
{
    Json::Value json(Json::objectValue);
    json["granting"] = answer.isGranting;
    json["term"] = static_cast<Json::Int64>(answer.term);
    Json::Value &accounts = json["accounts"] = Json::Value(Json::objectValue);
    for (const auto &[id, grant] : answer.accounts) {
        const double retryAfterSeconds = static_cast<double>(grant.retryAfter.count()) / millisecondsPerSecond;
        accounts[id.value()] = writeNumbers<grantNumbers>({grant.granted, grant.share.rate, grant.share.sumOfRates, grant.share.level, retryAfterSeconds});
    }
    return json;
}

routing::quota_answer readQuotaAnswer(const Json::Value &json)
{
    routing::quota_answer answer;
    if (!json.isObject() || !json["granting"].isBool() || !json["term"].isInt64() || !json["accounts"].isObject()) {
        return answer;
    }
    answer.isGranting = json["granting"].asBool();
    answer.term = json["term"].asInt64();
    for (const std::string &name : json["accounts"].getMemberNames()) {
        std::array<double, grantNumbers> numbers{};
        if (readNumbers(json["accounts"][name], numbers)) {
            const auto [granted, rate, sumOfRates, level, retryAfterSeconds] = numbers;
            answer.accounts[base::account_id(name)] = {
                granted, {rate, sumOfRates, level}, base::milliseconds(std::llround(retryAfterSeconds * millisecondsPerSecond))};
        }
    }
    return answer;
}

} // namespace chervilbend::fleet
