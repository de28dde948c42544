#pragma once

#include <chervilbend/net/http_types.hpp>

namespace chervilbend::net
{

/// Copies the header fields that a proxy forwards: all but the hop-by-hop fields (RFC 9110, section 7.6.1) and those that the HTTP client or server sets
/// itself, among them Host and Content-Length.
void copyForwardedFields(const http::fields &from, http::fields &to);

} // namespace chervilbend::net
