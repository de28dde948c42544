#include <chervilbend/external/http/host_entry_json.hpp>

#include <chervilbend/external/http/internal/json_fields.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

namespace json = boost::json;

namespace chervilbend::external
{

namespace
{

constexpr std::int64_t maxBytes = std::int64_t(1) << 50;
constexpr std::int64_t maxAccelerators = 1'024;

constexpr std::array<std::pair<host_kind, std::string_view>, 3> kindNames{{
    {host_kind::node, "node"},
    {host_kind::modelEngine, "engine"},
    {host_kind::plainService, "service"},
}};

/// Iterator to the kind's entry in kindNames, or its end.
auto findKind(const std::optional<std::string> &name)
{
    return std::find_if(kindNames.begin(), kindNames.end(), [&name](const auto &entry) { return name && entry.second == *name; });
}

bool readEngineFields(const json::object &json, host_entry &host)
{
    const auto memory = integerField(json, "memoryBytes", 0, maxBytes);
    const auto accelerators = integerField(json, "accelerators", 0, maxAccelerators);
    const auto checksFencing = booleanField(json, "checksFencing", false);
    if (!memory || !accelerators || !checksFencing) {
        return false;
    }
    host.memory = base::byte_count(*memory);
    host.accelerators = static_cast<int>(*accelerators);
    host.checksFencing = *checksFencing;
    return true;
}

} // namespace

json::object toJson(const host_entry &host)
{
    json::object json{{"id", host.id}};
    for (const auto &[kind, name] : kindNames) {
        if (kind == host.kind) {
            json["kind"] = json::string_view(name.data(), name.size());
        }
    }
    json["address"] = net::toString(host.address);
    json["zone"] = host.zone.value();
    json["leaving"] = host.draining;
    if (host.kind == host_kind::plainService) {
        json["service"] = host.service.value();
    }
    if (host.kind == host_kind::modelEngine) {
        json["memoryBytes"] = host.memory.count();
        json["accelerators"] = host.accelerators;
        json["checksFencing"] = host.checksFencing;
    }
    return json;
}

std::optional<host_entry> hostEntryFromJson(const json::object &json)
{
    const auto id = stringField(json, "id");
    const auto kindName = stringField(json, "kind");
    const auto address = stringField(json, "address");
    const auto zone = stringField(json, "zone");
    const auto draining = booleanField(json, "leaving", false);
    const auto kind = findKind(kindName);
    const auto parsedAddress = address ? net::parseAddress(*address) : std::nullopt;
    if (!id || id->empty() || kind == kindNames.end() || !parsedAddress || !zone || !draining) {
        return std::nullopt;
    }
    host_entry host;
    host.id = *id;
    host.kind = kind->first;
    host.address = *parsedAddress;
    host.zone = base::zone_id(*zone);
    host.draining = *draining;
    if (kind->first == host_kind::plainService) {
        const auto service = stringField(json, "service");
        if (!service || service->empty()) {
            return std::nullopt;
        }
        host.service = base::service_id(*service);
    }
    if (kind->first == host_kind::modelEngine && !readEngineFields(json, host)) {
        return std::nullopt;
    }
    return host;
}

} // namespace chervilbend::external
