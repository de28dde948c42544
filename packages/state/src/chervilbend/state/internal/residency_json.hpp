#pragma once

#include <chervilbend/state/internal/field_reader.hpp>
#include <chervilbend/state/views.hpp>

#include <boost/json/object.hpp>

namespace chervilbend::state
{

/// The form of an endpoint in a dump of the state.
boost::json::object toJson(const base::endpoint_id &id, const endpoint_view &endpoint);

void readEndpoint(field_reader &fields, base::endpoint_id &id, endpoint_view &endpoint);

} // namespace chervilbend::state
