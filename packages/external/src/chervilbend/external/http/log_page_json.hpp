#pragma once

#include <chervilbend/external/log_service.hpp>

#include <boost/json/object.hpp>

#include <optional>

namespace chervilbend::external
{

/// The wire format of a page of the log; docs/wire.md describes it.
boost::json::object toJson(const log_page &page);

/// Decodes the wire format. No value when a field is malformed, or when the offsets of the records do not ascend from @p after.
std::optional<log_page> logPageFromJson(const boost::json::object &json, base::log_offset after);

} // namespace chervilbend::external
