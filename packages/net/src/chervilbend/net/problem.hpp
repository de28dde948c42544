#pragma once

#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/base/reason.hpp>
#include <chervilbend/net/http_types.hpp>

namespace chervilbend::net
{

/// The problem document (RFC 9457) for a reason: type, title, status, detail and "run" ("not run", "ran" or "unknown").
http_response problemResponse(const base::reason &why);

/// The same with a run state other than the table's, for requests of which more is known than the last error says.
http_response problemResponse(const base::reason &why, base::run_state state);

} // namespace chervilbend::net
