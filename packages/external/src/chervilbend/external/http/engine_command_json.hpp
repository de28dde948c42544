#pragma once

#include <chervilbend/external/engine_command.hpp>

#include <boost/json/object.hpp>

#include <optional>

namespace chervilbend::external
{

/// The wire form of a command to an engine; docs/wire.md describes it.
boost::json::object toJson(const engine_command &command);

/// Reads the wire form. No value when a field is missing or malformed.
std::optional<engine_command> engineCommandFromJson(const boost::json::object &json);

} // namespace chervilbend::external
