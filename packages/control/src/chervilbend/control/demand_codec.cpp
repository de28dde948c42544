#include <chervilbend/control/demand_codec.hpp>

#include <chervilbend/base/hash.hpp>

#include <algorithm>
#include <bit>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <string>

namespace chervilbend::control
{

namespace
{

/// Values are sent as the upper half of a single-precision number: 8 bits of precision suffice for load and halve the message size.
constexpr std::size_t digitsPerValue = 4;
constexpr unsigned droppedBits = 16;

std::string modelListHash(const std::vector<base::item_id> &models)
{
    std::string all;
    for (const base::item_id &model : models) {
        all.append(model.value()).append("\n");
    }
    return base::hash128Hex(all);
}

} // namespace

std::vector<base::item_id> declaredModels(const state::replicated_state &state)
{
    std::vector<base::item_id> models;
    for (const auto &[id, service] : state.services()) {
        for (const config::model_declaration &model : service.declaration.models) {
            models.push_back(itemOf(model));
        }
    }
    std::sort(models.begin(), models.end());
    models.erase(std::unique(models.begin(), models.end()), models.end());
    return models;
}

Json::Value encodeDemand(const membership::demand_by_item &demand, const std::vector<base::item_id> &models)
{
    std::string digits;
    digits.reserve(digitsPerValue * models.size());
    for (const base::item_id &model : models) {
        const auto entry = demand.find(model);
        const auto fullBits = std::bit_cast<std::uint32_t>(entry == demand.end() ? 0.0F : static_cast<float>(entry->second));
        // Rounds to nearest, so that sums aggregated up the tree are not biased.
        std::uint32_t bits = (fullBits + (1U << (droppedBits - 1))) >> droppedBits;
        for (std::size_t digit = 0; digit < digitsPerValue; ++digit, bits >>= 4U) {
            digits += "0123456789abcdef"[bits & 15U];
        }
    }
    Json::Value message(Json::objectValue);
    message["models"] = modelListHash(models);
    message["demand"] = digits;
    return message;
}

std::optional<membership::demand_by_item> decodeDemand(const Json::Value &message, const std::vector<base::item_id> &models)
{
    if (!message.isObject() || !message["models"].isString() || !message["demand"].isString()) {
        return std::nullopt;
    }
    const std::string digits = message["demand"].asString();
    if (message["models"].asString() != modelListHash(models) || digits.size() != digitsPerValue * models.size()) {
        return std::nullopt;
    }
    membership::demand_by_item demand;
    for (std::size_t model = 0; model < models.size(); ++model) {
        std::string value(digits.rbegin() + static_cast<std::ptrdiff_t>(digits.size() - digitsPerValue * (model + 1)),
                          digits.rbegin() + static_cast<std::ptrdiff_t>(digits.size() - digitsPerValue * model));
        std::uint32_t bits = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), bits, 16);
        const float number = std::bit_cast<float>(bits << droppedBits);
        if (parsed.ptr != value.data() + value.size() || !std::isfinite(number) || number < 0) {
            return std::nullopt;
        }
        if (number > 0) {
            demand[models[model]] = number;
        }
    }
    return demand;
}

} // namespace chervilbend::control
