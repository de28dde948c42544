#pragma once

#include <chervilbend/external/host_entry.hpp>

#include <boost/json/object.hpp>

#include <optional>

namespace chervilbend::external
{

/// The wire format of an entry of the host list; docs/wire.md describes it.
boost::json::object toJson(const host_entry &host);

/// Decodes the wire format. No value when a field is missing or malformed.
std::optional<host_entry> hostEntryFromJson(const boost::json::object &json);

} // namespace chervilbend::external
