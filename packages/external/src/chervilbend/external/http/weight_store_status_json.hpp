#pragma once

#include <chervilbend/external/weight_store.hpp>

#include <boost/json/object.hpp>

#include <optional>

namespace chervilbend::external
{

/// The wire format of the weight store's status; docs/wire.md describes it.
boost::json::object toJson(const weight_store_status &status);

/// Decodes the wire format. No value when a field is missing or malformed.
std::optional<weight_store_status> weightStoreStatusFromJson(const boost::json::object &json);

} // namespace chervilbend::external
