#pragma once

#include <string>

namespace chervilbend::config
{

/// One thing that is wrong in a file, with the place where it stands.
struct fault {
    std::string file;
    /// From 1; 0 when the fault concerns the file as a whole.
    int line = 0;
    /// Path of the key, such as "models[0].weights"; empty when the fault concerns the file as a whole.
    std::string key;
    /// One short sentence without a full stop.
    std::string text;

    friend bool operator==(const fault &, const fault &) = default;
};

/// "FILE:LINE: KEY: TEXT", without the parts that are not set.
std::string toString(const fault &problem);

} // namespace chervilbend::config
