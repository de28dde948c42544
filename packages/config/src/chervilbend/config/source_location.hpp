#pragma once

#include <string>

namespace chervilbend::config
{

/// The location of a value in the files of a service.
struct source_location {
    std::string file;
    /// From 1.
    int line = 0;
    /// Path of the key within its file.
    std::string key;
};

} // namespace chervilbend::config
