#pragma once

#include <chervilbend/external/engine_command.hpp>

#include <boost/json/object.hpp>

#include <optional>

namespace chervilbend::external
{

/// The wire format of a command to an engine; docs/wire.md describes it.
boost::json::object toJson(const engine_command &command);

/// Decodes the wire format. No value when a field is missing or malformed.
std::optional<engine_command> engineCommandFromJson(const boost::json::object &json);

} // namespace chervilbend::external
