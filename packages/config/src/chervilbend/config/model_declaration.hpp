#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/config/adapter_declaration.hpp>

#include <string>
#include <vector>

namespace chervilbend::config
{

/// A model that a service needs to be resident.
struct model_declaration {
    std::string name;
    std::string version;
    base::byte_count weights;
    /// Memory set aside for the KV cache of this model's requests on each endpoint that holds it.
    base::byte_count kvReserve;
    /// Least number of endpoints that hold the model, 1 to 16.
    int copies = 1;
    /// 1 to 100; models with a higher importance are brought back first.
    int importance = 50;
    std::vector<adapter_declaration> adapters;

    friend bool operator==(const model_declaration &, const model_declaration &) = default;
};

/// "NAME@VERSION".
base::item_id itemOf(const model_declaration &model);

/// "NAME@VERSION/ADAPTER@VERSION".
base::item_id itemOf(const model_declaration &model, const adapter_declaration &adapter);

/// The item of the base model of an adapter's item; the item itself when it is a model.
base::item_id baseItemOf(const base::item_id &item);

/// An item without its versions, "NAME" or "NAME/ADAPTER": what callers name.
std::string nameOf(const base::item_id &item);

} // namespace chervilbend::config
