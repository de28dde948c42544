#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/config/adapter_declaration.hpp>

#include <string>
#include <vector>

namespace chervilbend::config
{

/// A model that a service requires to be loaded.
struct model_declaration {
    std::string name;
    std::string version;
    base::byte_count weights;
    /// Memory set aside for the KV cache of this model's requests on each endpoint that holds it.
    base::byte_count kvReserve;
    /// Minimum number of endpoints that hold the model, 1 to 16.
    int copies = 1;
    /// 1 to 100; models with a higher importance are reloaded first.
    int importance = 50;
    std::vector<adapter_declaration> adapters;

    friend bool operator==(const model_declaration &, const model_declaration &) = default;
};

/// "NAME@VERSION".
base::item_id itemOf(const model_declaration &model);

/// "NAME@VERSION/ADAPTER@VERSION".
base::item_id itemOf(const model_declaration &model, const adapter_declaration &adapter);

/// The item of an adapter's base model; the item itself if it is a model.
base::item_id baseItemOf(const base::item_id &item);

/// An item without its versions, "NAME" or "NAME/ADAPTER", as callers specify it.
std::string nameOf(const base::item_id &item);

} // namespace chervilbend::config
