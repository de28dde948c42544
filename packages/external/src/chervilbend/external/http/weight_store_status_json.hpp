#pragma once

#include <chervilbend/external/weight_store.hpp>

#include <boost/json/object.hpp>

#include <optional>

namespace chervilbend::external
{

/// The wire form of the weight store's state; docs/wire.md describes it.
boost::json::object toJson(const weight_store_status &status);

/// Reads the wire form. No value when a field is missing or malformed.
std::optional<weight_store_status> weightStoreStatusFromJson(const boost::json::object &json);

} // namespace chervilbend::external
