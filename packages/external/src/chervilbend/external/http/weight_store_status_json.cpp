#include <chervilbend/external/http/weight_store_status_json.hpp>

#include <chervilbend/external/http/internal/json_fields.hpp>

#include <cstdint>

namespace chervilbend::external
{

namespace
{
constexpr std::int64_t maxSlots = 1'000'000;
constexpr double maxRate = 1'000'000;
} // namespace

boost::json::object toJson(const weight_store_status &status)
{
    return {{"loadsPerSecond", status.loadsPerSecond}, {"slots", status.slots}, {"adapterSlots", status.adapterSlots}, {"inTransit", status.inTransit}};
}

std::optional<weight_store_status> weightStoreStatusFromJson(const boost::json::object &json)
{
    const auto rate = positiveNumberField(json, "loadsPerSecond", maxRate);
    const auto slots = integerField(json, "slots", 1, maxSlots);
    const auto adapterSlots = integerField(json, "adapterSlots", 1, maxSlots);
    const auto inTransit = integerField(json, "inTransit", 0, maxSlots);
    if (!rate || !slots || !adapterSlots || !inTransit) {
        return std::nullopt;
    }
    return weight_store_status{*rate, static_cast<int>(*slots), static_cast<int>(*adapterSlots), static_cast<int>(*inTransit)};
}

} // namespace chervilbend::external
