#include <chervilbend/external/http/engine_report_json.hpp>

#include <chervilbend/external/http/internal/json_fields.hpp>

#include <boost/json/array.hpp>

#include <cstdint>
#include <limits>
#include <utility>

namespace json = boost::json;

namespace chervilbend::external
{

namespace
{
constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
/// A lag of more than a day is an error, and sums with it could overflow.
constexpr std::int64_t maxLagMs = 86'400'000;

std::optional<resident_item> residentItemFromJson(const json::value &element)
{
    const json::object *const object = element.if_object();
    if (!object) {
        return std::nullopt;
    }
    const auto item = stringField(*object, "item");
    const auto bytes = integerField(*object, "bytes", 0, maxInteger);
    const auto loaded = booleanField(*object, "loaded", false);
    if (!item || item->empty() || !bytes || !loaded) {
        return std::nullopt;
    }
    return resident_item{base::item_id(*item), base::byte_count(*bytes), *loaded};
}

} // namespace

json::object toJson(const engine_report &report)
{
    json::array items;
    for (const resident_item &item : report.items) {
        items.push_back(json::object{{"item", item.item.value()}, {"bytes", item.bytes.count()}, {"loaded", item.loaded}});
    }
    return {{"life", report.incarnation.count()},
            {"fencingToken", report.fencingToken.count()},
            {"running", report.running},
            {"queued", report.queued},
            {"lagMs", report.lag.count()},
            {"items", std::move(items)}};
}

std::optional<engine_report> engineReportFromJson(const json::object &json)
{
    const auto incarnation = integerField(json, "life", 0, maxInteger);
    const auto token = integerField(json, "fencingToken", 0, maxInteger);
    const auto running = integerField(json, "running", 0, maxInteger);
    const auto queued = integerField(json, "queued", 0, maxInteger);
    const auto lag = integerField(json, "lagMs", 0, maxLagMs);
    const json::array *const items = arrayField(json, "items");
    if (!incarnation || !token || !running || !queued || !lag || !items) {
        return std::nullopt;
    }
    engine_report report;
    report.incarnation = base::incarnation(*incarnation);
    report.fencingToken = base::log_offset(*token);
    report.running = *running;
    report.queued = *queued;
    report.lag = base::milliseconds(*lag);
    for (const json::value &element : *items) {
        std::optional<resident_item> item = residentItemFromJson(element);
        if (!item) {
            return std::nullopt;
        }
        report.items.push_back(std::move(*item));
    }
    return report;
}

} // namespace chervilbend::external
