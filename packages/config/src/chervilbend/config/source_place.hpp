#pragma once

#include <string>

namespace chervilbend::config
{

/// Where a value stands in the files of a service.
struct source_place {
    std::string file;
    /// From 1.
    int line = 0;
    /// Path of the key within its file.
    std::string key;
};

} // namespace chervilbend::config
