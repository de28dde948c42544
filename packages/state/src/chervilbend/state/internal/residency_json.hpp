#pragma once

#include <chervilbend/state/internal/field_reader.hpp>
#include <chervilbend/state/views.hpp>

#include <boost/json/object.hpp>

namespace chervilbend::state
{

/// Serializes an endpoint for a dump of the state.
boost::json::object toJson(const base::endpoint_id &id, const endpoint_view &endpoint);

void readEndpoint(field_reader &fields, base::endpoint_id &id, endpoint_view &endpoint);

} // namespace chervilbend::state
