#include <chervilbend/control/gossip_codec.hpp>

#include <string>

namespace chervilbend::control
{

namespace
{

Json::Value encode(const membership::member &member)
{
    Json::Value fields(Json::arrayValue);
    fields.append(member.id.value());
    fields.append(Json::Int64(member.incarnation.count()));
    fields.append(Json::Int64(member.revision));
    fields.append(member.address);
    fields.append(member.zone.value());
    fields.append(static_cast<int>(member.state));
    fields.append(member.draining ? 1 : 0);
    return fields;
}

std::optional<membership::member> decodeMember(const Json::Value &fields)
{
    constexpr Json::ArrayIndex count = 7;
    if (!fields.isArray() || fields.size() != count || !fields[0].isString() || !fields[1].isInt64() || !fields[2].isInt64() || !fields[3].isString()
        || !fields[4].isString() || !fields[5].isInt() || !fields[6].isInt() || fields[5].asInt() < 0 || fields[5].asInt() > 2) {
        return std::nullopt;
    }
    membership::member member;
    member.id = base::node_id(fields[0].asString());
    member.incarnation = base::incarnation(fields[1].asInt64());
    member.revision = fields[2].asInt64();
    member.address = fields[3].asString();
    member.zone = base::zone_id(fields[4].asString());
    member.state = static_cast<membership::member_state>(fields[5].asInt());
    member.draining = fields[6].asInt() != 0;
    return member;
}

} // namespace

Json::Value encodeGossip(const membership::gossip &message)
{
    Json::Value json(Json::objectValue);
    json["from"] = encode(message.sender);
    for (const membership::member &update : message.updates) {
        json["members"].append(encode(update));
    }
    for (const membership::crash_suspicion &suspicion : message.crashSuspicions) {
        Json::Value pair(Json::arrayValue);
        pair.append(Json::UInt64(suspicion.fingerprint));
        pair.append(suspicion.crashes);
        json["suspicions"].append(pair);
    }
    return json;
}

std::optional<membership::gossip> decodeGossip(const Json::Value &message)
{
    const Json::Value empty(Json::arrayValue);
    if (!message.isObject()) {
        return std::nullopt;
    }
    membership::gossip gossip;
    const std::optional<membership::member> sender = decodeMember(message["from"]);
    const Json::Value &members = message.isMember("members") ? message["members"] : empty;
    const Json::Value &suspicions = message.isMember("suspicions") ? message["suspicions"] : empty;
    if (!sender || !members.isArray() || !suspicions.isArray()) {
        return std::nullopt;
    }
    gossip.sender = *sender;
    for (const Json::Value &each : members) {
        const std::optional<membership::member> update = decodeMember(each);
        if (!update) {
            return std::nullopt;
        }
        gossip.updates.push_back(*update);
    }
    for (const Json::Value &each : suspicions) {
        if (!each.isArray() || each.size() != 2 || !each[0].isUInt64() || !each[1].isInt()) {
            return std::nullopt;
        }
        gossip.crashSuspicions.push_back({each[0].asUInt64(), each[1].asInt()});
    }
    return gossip;
}

} // namespace chervilbend::control
