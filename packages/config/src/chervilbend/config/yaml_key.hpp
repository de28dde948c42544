#pragma once

#include <string>

namespace chervilbend::config
{

/// A key of a YAML mapping.
struct yaml_key {
    std::string name;
    /// From 1.
    int line = 0;
};

} // namespace chervilbend::config
