#include <chervilbend/fleet/prompt_evidence_json.hpp>

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

namespace chervilbend::fleet
{

namespace
{

/// Greater ages change no decision, but could overflow the arithmetic of time points.
constexpr base::milliseconds maxAge{86'400'000};

Json::Value listOf(const auto &numbers)
{
    Json::Value list(Json::arrayValue);
    for (const std::uint64_t number : numbers) {
        list.append(static_cast<Json::UInt64>(number));
    }
    return list;
}

/// False if an item is no unsigned number.
bool readList(const Json::Value &json, const auto &add)
{
    if (!json.isArray()) {
        return false;
    }
    for (const Json::Value &item : json) {
        if (!item.isUInt64()) {
            return false;
        }
        add(item.asUInt64());
    }
    return true;
}

Json::Value agesOf(const std::map<std::uint64_t, base::milliseconds> &ages)
{
    Json::Value json(Json::objectValue);
    for (const auto &[id, age] : ages) {
        json[std::to_string(id)] = static_cast<Json::Int64>(age.count());
    }
    return json;
}

std::optional<std::uint64_t> numberOf(const std::string &text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

std::optional<base::milliseconds> readAge(const Json::Value &json)
{
    const bool isAge = json.isInt64() && json.asInt64() >= 0;
    return isAge ? std::optional(std::min(base::milliseconds(json.asInt64()), maxAge)) : std::nullopt;
}

std::optional<std::map<std::uint64_t, base::milliseconds>> readAges(const Json::Value &json)
{
    if (!json.isObject()) {
        return std::nullopt;
    }
    std::map<std::uint64_t, base::milliseconds> ages;
    for (const std::string &name : json.getMemberNames()) {
        const std::optional<std::uint64_t> id = numberOf(name);
        const std::optional<base::milliseconds> age = readAge(json[name]);
        if (!id || !age) {
            return std::nullopt;
        }
        ages.emplace(*id, *age);
    }
    return ages;
}

Json::Value toJson(const routing::part_losses &lost)
{
    Json::Value json(Json::objectValue);
    json["processes"] = agesOf(lost.processes);
    json["service"] = static_cast<Json::UInt64>(lost.service);
    json["answered"] = lost.hasBeenAnswered;
    if (lost.otherAnswer) {
        json["otherAnswer"] = static_cast<Json::Int64>(lost.otherAnswer->count());
    }
    return json;
}

std::optional<routing::part_losses> readPartLosses(const Json::Value &json)
{
    if (!json.isObject() || !json["service"].isUInt64() || !json["answered"].isBool()) {
        return std::nullopt;
    }
    std::optional<std::map<std::uint64_t, base::milliseconds>> processes = readAges(json["processes"]);
    if (!processes) {
        return std::nullopt;
    }
    routing::part_losses lost{std::move(*processes), json["service"].asUInt64(), std::nullopt, json["answered"].asBool()};
    if (json.isMember("otherAnswer")) {
        lost.otherAnswer = readAge(json["otherAnswer"]);
        return lost.otherAnswer ? std::optional(std::move(lost)) : std::nullopt;
    }
    return lost;
}

/// Reads what nodes of earlier versions do not send. False if a member has the wrong type.
bool readLaterMembers(const Json::Value &json, routing::prompt_evidence &evidence)
{
    if (json.isMember("lasted")) {
        std::optional<std::map<std::uint64_t, base::milliseconds>> lasted = readAges(json["lasted"]);
        if (!lasted) {
            return false;
        }
        evidence.lasted = std::move(*lasted);
    }
    if (!json.isMember("lost")) {
        return true;
    }
    if (!json["lost"].isObject()) {
        return false;
    }
    for (const std::string &name : json["lost"].getMemberNames()) {
        const std::optional<std::uint64_t> part = numberOf(name);
        std::optional<routing::part_losses> lost = readPartLosses(json["lost"][name]);
        if (!part || !lost) {
            return false;
        }
        evidence.lost.emplace(*part, std::move(*lost));
    }
    return true;
}

} // namespace

Json::Value toJson(const routing::prompt_evidence &evidence)
{
    Json::Value json(Json::objectValue);
    json["answered"] = agesOf(evidence.answered);
    if (!evidence.lasted.empty()) {
        json["lasted"] = agesOf(evidence.lasted);
    }
    for (const auto &[part, losses] : evidence.lost) {
        json["lost"][std::to_string(part)] = toJson(losses);
    }
    json["wanted"] = listOf(evidence.wanted);
    json["trials"] = listOf(evidence.trials);
    Json::Value &losses = json["losses"] = Json::Value(Json::objectValue);
    for (const auto &[part, processes] : evidence.losses) {
        losses[std::to_string(part)] = listOf(processes);
    }
    return json;
}

std::optional<routing::prompt_evidence> readPromptEvidence(const Json::Value &json)
{
    if (!json.isObject() || !json["losses"].isObject() || !json["answered"].isObject()) {
        return std::nullopt;
    }
    routing::prompt_evidence evidence;
    const auto readInto = [&](const char *name, std::vector<std::uint64_t> &list) {
        return readList(json[name], [&](std::uint64_t part) { list.push_back(part); });
    };
    if (!readInto("wanted", evidence.wanted) || !readInto("trials", evidence.trials)) {
        return std::nullopt;
    }
    std::optional<std::map<std::uint64_t, base::milliseconds>> answered = readAges(json["answered"]);
    if (!answered || !readLaterMembers(json, evidence)) {
        return std::nullopt;
    }
    evidence.answered = std::move(*answered);
    for (const std::string &name : json["losses"].getMemberNames()) {
        const std::optional<std::uint64_t> part = numberOf(name);
        if (!part || !readList(json["losses"][name], [&](std::uint64_t process) { evidence.losses[*part].insert(process); })) {
            return std::nullopt;
        }
    }
    return evidence;
}

} // namespace chervilbend::fleet
