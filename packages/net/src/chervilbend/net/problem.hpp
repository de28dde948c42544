#pragma once

#include <chervilbend/base/reason.hpp>
#include <chervilbend/net/http_types.hpp>

namespace chervilbend::net
{

/// The problem document (RFC 9457) for a reason: type, title, status, detail and "run" ("not run", "ran" or "unknown").
http_response problemResponse(const base::reason &why);

} // namespace chervilbend::net
