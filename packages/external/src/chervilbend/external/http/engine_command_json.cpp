#include <chervilbend/external/http/engine_command_json.hpp>

#include <chervilbend/external/http/internal/json_fields.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

namespace json = boost::json;

namespace chervilbend::external
{

namespace
{

constexpr std::array<std::pair<engine_action, std::string_view>, 3> actionNames{{
    {engine_action::load, "load"},
    {engine_action::unload, "unload"},
    {engine_action::fence, "fence"},
}};

} // namespace

json::object toJson(const engine_command &command)
{
    json::object json;
    for (const auto &[action, name] : actionNames) {
        if (action == command.action) {
            json["action"] = json::string_view(name.data(), name.size());
        }
    }
    json["item"] = command.item.value();
    json["bytes"] = command.bytes.count();
    json["fencingToken"] = command.fencingToken.count();
    return json;
}

std::optional<engine_command> engineCommandFromJson(const json::object &json)
{
    constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
    const auto actionName = stringField(json, "action");
    const auto item = stringField(json, "item");
    const auto bytes = integerField(json, "bytes", 0, maxInteger);
    const auto token = integerField(json, "fencingToken", 0, maxInteger);
    if (!actionName || !item || !bytes || !token) {
        return std::nullopt;
    }
    for (const auto &[action, name] : actionNames) {
        if (name == *actionName) {
            return engine_command{action, base::item_id(*item), base::byte_count(*bytes), base::log_offset(*token)};
        }
    }
    return std::nullopt;
}

} // namespace chervilbend::external
