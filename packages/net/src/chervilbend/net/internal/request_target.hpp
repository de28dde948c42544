#pragma once

#include <chervilbend/net/http_types.hpp>

namespace chervilbend::net
{

/// Replaces a target in absolute form by its path and query, and the Host field by the target's authority (RFC 9112, section 3.2.2). Other forms stay as they
/// are.
void useOriginForm(http_request &request);

} // namespace chervilbend::net
