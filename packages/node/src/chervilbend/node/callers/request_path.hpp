#pragma once

#include <string_view>

namespace chervilbend::node
{

/// Whether a path is absolute and has only one reading. Empty segments, "." and "..", backslashes and encoded slashes or dots could make an
/// endpoint see another route than the one whose declaration was applied, for example one that may not be repeated.
bool isNormalizedPath(std::string_view path);

} // namespace chervilbend::node
