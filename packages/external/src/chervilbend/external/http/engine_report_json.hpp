#pragma once

#include <chervilbend/external/engine_report.hpp>

#include <boost/json/object.hpp>

#include <optional>

namespace chervilbend::external
{

/// The wire format of an engine's report; docs/wire.md describes it.
boost::json::object toJson(const engine_report &report);

/// Decodes the wire format. No value when a field is missing or malformed.
std::optional<engine_report> engineReportFromJson(const boost::json::object &json);

} // namespace chervilbend::external
