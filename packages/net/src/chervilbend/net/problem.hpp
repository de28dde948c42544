#pragma once

#include <chervilbend/base/error_kind.hpp>
#include <chervilbend/base/reason.hpp>
#include <chervilbend/net/http_types.hpp>

namespace chervilbend::net
{

/// The problem document (RFC 9457) for a reason: type, title, status, detail and "run" ("not run", "ran" or "unknown").
http_response problemResponse(const base::reason &reason);

/// The same with an explicit run state, for requests whose state is known better than from the kind of the last error.
http_response problemResponse(const base::reason &reason, base::run_state state);

} // namespace chervilbend::net
