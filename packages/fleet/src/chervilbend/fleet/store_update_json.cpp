#include <chervilbend/fleet/store_update_json.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <utility>

namespace chervilbend::fleet
{

namespace
{

Json::Value toJson(const endpoint_change &change)
{
    Json::Value json(Json::objectValue);
    json["id"] = change.id.value();
    if (!change.entry) {
        return json;
    }
    const endpoint_entry &entry = *change.entry;
    json["service"] = entry.service.value();
    json["ip"] = entry.address.ip;
    json["port"] = entry.address.port;
    json["zone"] = entry.zone.value();
    json["software"] = entry.softwareVersion.value();
    json["slots"] = entry.slots;
    json["draining"] = entry.draining;
    json["born"] = static_cast<Json::Int64>(entry.startedAt);
    json["heartbeat"] = static_cast<Json::Int64>(entry.heartbeat);
    if (entry.remaining) {
        json["remainingMs"] = static_cast<Json::Int64>(entry.remaining->count());
    }
    return json;
}

bool isPort(const Json::Value &json)
{
    return json.isUInt() && json.asUInt() > 0 && json.asUInt() <= std::numeric_limits<std::uint16_t>::max();
}

bool isEntry(const Json::Value &json)
{
    return json["service"].isString() && json["ip"].isString() && isPort(json["port"]) && json["zone"].isString() && json["slots"].isInt()
        && json["draining"].isBool() && json["born"].isInt64();
}

std::optional<endpoint_change> readChange(const Json::Value &json)
{
    if (!json.isObject() || !json["id"].isString()) {
        return std::nullopt;
    }
    endpoint_change change;
    change.id = base::endpoint_id(json["id"].asString());
    if (!json.isMember("service")) {
        return change;
    }
    if (!isEntry(json)) {
        return std::nullopt;
    }
    endpoint_entry &entry = change.entry.emplace();
    entry.id = change.id;
    entry.service = base::service_id(json["service"].asString());
    entry.address = {json["ip"].asString(), static_cast<std::uint16_t>(json["port"].asUInt())};
    entry.zone = base::zone_id(json["zone"].asString());
    // Missing in messages of nodes that still run the version before it.
    if (json["software"].isString()) {
        entry.softwareVersion = base::software_version(json["software"].asString());
    }
    entry.slots = json["slots"].asInt();
    entry.draining = json["draining"].asBool();
    entry.startedAt = json["born"].asInt64();
    if (json["heartbeat"].isInt64()) {
        entry.heartbeat = json["heartbeat"].asInt64();
    }
    if (json["remainingMs"].isInt64()) {
        entry.remaining = base::milliseconds(json["remainingMs"].asInt64());
    }
    return change;
}

constexpr std::array numberNames{"position", "ageMs", "version", "configuration", "configurationAgeMs"};

} // namespace

Json::Value toJson(const store_update &update)
{
    Json::Value json(Json::objectValue);
    json["position"] = static_cast<Json::Int64>(update.registrationsPosition);
    json["ageMs"] = static_cast<Json::Int64>(update.registrationsAge.count());
    json["version"] = static_cast<Json::Int64>(update.registrationsVersion);
    json["whole"] = update.isSnapshot;
    json["configuration"] = static_cast<Json::Int64>(update.configurationPosition);
    json["configurationAgeMs"] = static_cast<Json::Int64>(update.configurationAge.count());
    Json::Value &list = json["registrations"] = Json::Value(Json::arrayValue);
    for (const endpoint_change &change : update.registrations) {
        list.append(toJson(change));
    }
    return json;
}

std::optional<store_update> readStoreUpdate(const Json::Value &json)
{
    if (!json.isObject() || !json["whole"].isBool() || !json["registrations"].isArray()) {
        return std::nullopt;
    }
    for (const char *const name : numberNames) {
        if (!json[name].isInt64()) {
            return std::nullopt;
        }
    }
    store_update update;
    update.registrationsPosition = json["position"].asInt64();
    update.registrationsAge = base::milliseconds(json["ageMs"].asInt64());
    update.registrationsVersion = json["version"].asInt64();
    update.isSnapshot = json["whole"].asBool();
    update.configurationPosition = json["configuration"].asInt64();
    update.configurationAge = base::milliseconds(json["configurationAgeMs"].asInt64());
    for (const Json::Value &item : json["registrations"]) {
        std::optional<endpoint_change> change = readChange(item);
        // One that can't be read must not keep this node from following the others.
        if (change) {
            update.registrations.push_back(std::move(*change));
        }
    }
    return update;
}

} // namespace chervilbend::fleet
