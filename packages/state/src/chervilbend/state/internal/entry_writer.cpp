#include <chervilbend/state/internal/entry_writer.hpp>

#include <chervilbend/config/declaration_json.hpp>

#include <boost/json/value.hpp>

#include <algorithm>

namespace json = boost::json;

namespace chervilbend::state
{

namespace
{

json::object header(std::string_view kind)
{
    json::object target;
    target["kind"] = kind;
    target["v"] = entryVersion;
    return target;
}

/// Returns the fields that are common to most residency entries.
json::object residencyHeader(std::string_view kind, const base::endpoint_id &endpoint, const base::item_id &item, base::log_offset token)
{
    json::object target = header(kind);
    target["endpoint"] = endpoint.value();
    target["item"] = item.value();
    target["token"] = token.count();
    return target;
}

json::object incarnationHeader(std::string_view kind, const base::node_id &node, base::incarnation incarnation)
{
    json::object target = header(kind);
    target["node"] = node.value();
    target["life"] = incarnation.count();
    return target;
}

json::object write(const publish_entry &value)
{
    json::object target = header("publish");
    target["base"] = value.base.count();
    target["id"] = value.publishId;
    target["author"] = value.author;
    target["declaration"] = config::toJson(value.declaration);
    return target;
}

json::object write(const lease_entry &value)
{
    json::object target = incarnationHeader("lease", value.holder, value.incarnation);
    target["name"] = value.name.value();
    target["base"] = value.base.count();
    target["action"] = static_cast<int>(value.action);
    return target;
}

json::object write(const heartbeat_entry &value)
{
    json::object target = incarnationHeader("heartbeat", value.node, value.incarnation);
    target["folded"] = value.appliedOffset.count();
    target["outstanding"] = value.commandsOutstanding;
    target["sentAt"] = value.sentAt.count();
    return target;
}

json::object write(const endpoint_entry &value)
{
    json::object target = header("endpoint");
    target["endpoint"] = value.endpoint.value();
    target["address"] = value.address;
    target["zone"] = value.zone.value();
    target["memory"] = value.memory.count();
    target["fencing"] = value.checksFencing;
    target["gone"] = value.removed;
    target["token"] = value.plannerToken.count();
    return target;
}

json::object write(const assign_entry &value)
{
    json::object target = residencyHeader("assign", value.endpoint, value.item, value.plannerToken);
    target["bytes"] = value.bytes.count();
    return target;
}

json::object write(const loaded_entry &value)
{
    json::object target = residencyHeader("loaded", value.endpoint, value.item, value.ownerToken);
    target["lost"] = value.lost;
    return target;
}

json::object write(const drop_entry &value)
{
    return residencyHeader("drop", value.endpoint, value.item, value.plannerToken);
}

json::object write(const released_entry &value)
{
    return residencyHeader("released", value.endpoint, value.item, value.ownerToken);
}

json::object write(const claim_entry &value)
{
    json::object target = incarnationHeader("claim", value.node, value.incarnation);
    target["key"] = value.keyHash;
    target["bodyHash"] = value.bodyHash;
    target["claim"] = value.claimId;
    target["at"] = value.claimedAt.count();
    target["base"] = value.base.count();
    target["lifetime"] = value.lifetime.count();
    return target;
}

json::object write(const outcome_entry &value)
{
    json::object target = header("outcome");
    target["key"] = value.keyHash;
    target["claim"] = value.claimId;
    target["state"] = static_cast<int>(value.state);
    target["status"] = value.httpStatus;
    target["type"] = value.contentType;
    writeBytes(target, "body", value.body);
    return target;
}

json::object write(const minute_counts_entry &value)
{
    json::object target = incarnationHeader("day", value.node, value.incarnation);
    target["minute"] = value.minute.count();
    json::object counts;
    for (const auto &[name, count] : value.counts) {
        counts[name] = count;
    }
    target["counts"] = std::move(counts);
    return target;
}

json::object write(const incarnation_ended_entry &value)
{
    return incarnationHeader("ended", value.node, value.incarnation);
}

json::object write(const checkpoint_entry &value)
{
    json::object target = header("checkpoint");
    target["stream"] = value.stream;
    target["folded"] = value.appliedOffset.count();
    target["id"] = value.checkpointId;
    target["chunk"] = value.chunk;
    target["chunks"] = value.chunks;
    target["data"] = value.data;
    return target;
}

} // namespace

void writeBytes(json::object &target, std::string_view key, const std::string &bytes)
{
    const bool isAscii = std::all_of(bytes.begin(), bytes.end(), [](char byte) { return static_cast<unsigned char>(byte) < 0x80; });
    if (isAscii) {
        target[key] = bytes;
        return;
    }
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char byte : bytes) {
        text += digits[static_cast<unsigned char>(byte) >> 4U];
        text += digits[static_cast<unsigned char>(byte) & 15U];
    }
    target[std::string(key) + "Hex"] = text;
}

json::object toJson(const entry &value)
{
    return std::visit([](const auto &concrete) { return write(concrete); }, value);
}

} // namespace chervilbend::state
