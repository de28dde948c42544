#pragma once

#include <chervilbend/net/http_types.hpp>

namespace chervilbend::net
{

/// Whether a message's length can be read in more than one way: a transfer coding other than exactly "chunked", both a coding and a
/// length, or more than one length. Two parties that interpret the length differently would disagree about where a message ends (request smuggling, RFC 9112,
/// section 11.2). The parser itself accepts some of these forms.
bool hasAmbiguousLength(const http::fields &fields);

} // namespace chervilbend::net
