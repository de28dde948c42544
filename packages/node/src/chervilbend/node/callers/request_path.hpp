#pragma once

#include <string_view>

namespace chervilbend::node
{

/// Whether a path is absolute and unambiguous. Empty segments, "." and "..", backslashes and encoded slashes or dots could make an endpoint
/// resolve the path to a different route than the one whose declaration was applied, for example to one that must not be repeated.
bool isNormalizedPath(std::string_view path);

} // namespace chervilbend::node
