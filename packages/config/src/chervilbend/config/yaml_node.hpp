#pragma once

#include <chervilbend/config/yaml_key.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::config
{

enum class yaml_kind {
    null,
    scalar,
    sequence,
    map,
};

/// A value in a YAML file.
struct yaml_node {
    yaml_kind kind = yaml_kind::null;
    /// The value of a scalar.
    std::string text;
    /// From 1.
    int line = 0;
    /// Keys of a map, in the order of the file; keys[i] belongs to items[i].
    std::vector<yaml_key> keys;
    /// Values of a map, or elements of a sequence.
    std::vector<yaml_node> items;

    /// The value of a map's key, nullptr when it is absent.
    const yaml_node *find(std::string_view key) const
    {
        for (std::size_t i = 0; i < keys.size(); ++i) {
            if (keys[i].name == key) {
                return &items[i];
            }
        }
        return nullptr;
    }
};

} // namespace chervilbend::config
