#include <chervilbend/state/internal/residency_json.hpp>

#include <boost/json/array.hpp>

namespace json = boost::json;

namespace chervilbend::state
{

namespace
{

json::object toJson(const base::item_id &id, const residency_view &item)
{
    json::array quarantine;
    for (const quarantine_view &each : item.quarantine) {
        quarantine.emplace_back(json::object{{"node", each.node.value()}, {"life", each.incarnation.count()}, {"lostAt", each.lostAt.count()}});
    }
    return {{"item", id.value()},
            {"state", static_cast<int>(item.state)},
            {"bytes", item.bytes.count()},
            {"since", item.since.count()},
            {"quarantine", std::move(quarantine)}};
}

void readItem(field_reader &fields, base::item_id &id, residency_view &item)
{
    fields.read("item", id);
    fields.read("state", item.state, residency::dropping);
    fields.read("bytes", item.bytes);
    fields.read("since", item.since);
    for (const json::value &each : fields.array("quarantine")) {
        field_reader member(each);
        quarantine_view &former = item.quarantine.emplace_back();
        member.read("node", former.node);
        member.read("life", former.incarnation);
        member.read("lostAt", former.lostAt);
        if (!member.isOk()) {
            fields.fail();
        }
    }
}

} // namespace

json::object toJson(const base::endpoint_id &id, const endpoint_view &endpoint)
{
    json::array items;
    for (const auto &[itemId, item] : endpoint.items) {
        items.emplace_back(toJson(itemId, item));
    }
    return {{"endpoint", id.value()},
            {"address", endpoint.address},
            {"zone", endpoint.zone.value()},
            {"memory", endpoint.memory.count()},
            {"fencing", endpoint.checksFencing},
            {"items", std::move(items)}};
}

void readEndpoint(field_reader &fields, base::endpoint_id &id, endpoint_view &endpoint)
{
    fields.read("endpoint", id);
    fields.read("address", endpoint.address);
    fields.read("zone", endpoint.zone);
    fields.read("memory", endpoint.memory);
    fields.read("fencing", endpoint.checksFencing);
    for (const json::value &each : fields.array("items")) {
        field_reader member(each);
        base::item_id itemId;
        residency_view item;
        readItem(member, itemId, item);
        endpoint.reserved += item.bytes;
        endpoint.items[itemId] = std::move(item);
        if (!member.isOk()) {
            fields.fail();
        }
    }
}

} // namespace chervilbend::state
