#pragma once

#include <string>

namespace chervilbend::config
{

/// An error in a file, with its location.
struct fault {
    std::string file;
    /// From 1; 0 if the fault concerns the file as a whole.
    int line = 0;
    /// Path of the key, such as "models[0].weights"; empty if the fault concerns the file as a whole.
    std::string key;
    /// Description of the fault: one short sentence without a full stop.
    std::string text;

    friend bool operator==(const fault &, const fault &) = default;
};

/// "FILE:LINE: KEY: TEXT", without the parts that are empty.
std::string toString(const fault &problem);

} // namespace chervilbend::config
